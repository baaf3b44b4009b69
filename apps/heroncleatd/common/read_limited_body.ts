import type { IncomingMessage } from "node:http";
import { createFault, type Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";

/** Reads a request body up to a maximum size. */
export async function readLimitedBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) {
    return Result.err(createTooLargeFault(maxBytes));
  }
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    // The socket must stay open, so that the error response can be sent.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      length += (chunk as Buffer).length;
      if (length > maxBytes) {
        return Result.err(createTooLargeFault(maxBytes));
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

function createTooLargeFault(maxBytes: number): Fault {
  return createFault(
    "too_large",
    `The body is larger than ${maxBytes} bytes. Remedy: send a shorter one ` +
      "or raise entry.max_body_bytes.",
  );
}
