import type { IncomingMessage } from "node:http";
import { createFault, type Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";

/** Reads a request body of bounded size. */
export async function readLimitedBody(
  request: IncomingMessage,
  mostBytes: number,
): Promise<Result<Buffer, Fault>> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > mostBytes) {
    return Result.err(describeTooLarge(mostBytes));
  }
  const chunks: Buffer[] = [];
  let length = 0;
  try {
    // The socket must outlive a refusal, or the answer would be lost with it.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      length += (chunk as Buffer).length;
      if (length > mostBytes) {
        return Result.err(describeTooLarge(mostBytes));
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

function describeTooLarge(mostBytes: number): Fault {
  return createFault(
    "too_large",
    `The body is larger than ${mostBytes} bytes. Remedy: send a shorter one ` +
      "or raise entry.max_body_bytes.",
  );
}
