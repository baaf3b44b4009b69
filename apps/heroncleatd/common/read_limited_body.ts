import type { IncomingMessage, ServerResponse } from "node:http";
import { createFault, type Fault, type Milliseconds } from "@heroncleat/base";
import { Result } from "true-myth/result";
import type { ByteBudget } from "./byte_budget.ts";

const MIN_RETRY_AFTER: Milliseconds = 100;

/**
 * Reads a request body up to a maximum size.
 *
 * @param budget What the bodies of all requests hold. Bytes are held until
 *     the response to the request ends.
 */
export async function readLimitedBody(
  request: IncomingMessage,
  maxBytes: number,
  { budget, response }: { budget?: ByteBudget; response?: ServerResponse } = {},
): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) {
    return Result.err(createTooLargeFault(maxBytes));
  }
  const hold = budget?.tryHold(declared);
  if (budget !== undefined && hold === undefined) {
    request.resume();
    return Result.err(createNoRoomFault(budget.expectedWait(declared)));
  }
  response?.once("close", () => hold?.release());
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    // The socket must stay open, so that the error response can be sent.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      length += (chunk as Buffer).length;
      if (length > maxBytes) {
        return Result.err(createTooLargeFault(maxBytes));
      }
      if (length > declared && hold?.resize(length) === false) {
        request.resume();
        return Result.err(createNoRoomFault(budget!.expectedWait(length)));
      }
      chunks.push(chunk as Buffer);
    }
  } catch {
    return Result.err(createFault(
      "bad_request",
      "The body ended early. Remedy: send as many bytes as Content-Length says.",
    ));
  }
  return Result.ok(Buffer.concat(chunks));
}

function createNoRoomFault(expectedWait: Milliseconds): Fault {
  return createFault(
    "overloaded",
    "This entry has no room for the body beside those of other requests. " +
      "Remedy: retry after the time in Retry-After, or at another entry.",
    { retryAfter: Math.max(MIN_RETRY_AFTER, expectedWait) },
  );
}

function createTooLargeFault(maxBytes: number): Fault {
  return createFault(
    "too_large",
    `The body is larger than ${maxBytes} bytes. Remedy: send a shorter one ` +
      "or raise entry.max_body_bytes.",
  );
}
