import type { ServerResponse } from "node:http";

/**
 * Ends a response with its last bytes once its caller has room for them.
 * Resolves once the system has taken all of them, or when the connection is
 * closed. A server that closes idle connections also closes those whose
 * response was ended but not sent yet.
 */
export async function endResponse(
  response: ServerResponse,
  bytes: Buffer,
): Promise<void> {
  if (bytes.length < response.writableHighWaterMark) {
    await waitForDrain(response);
    response.end(bytes);
  } else {
    response.write(bytes);
    await waitForDrain(response);
    response.end();
  }
  if (response.writableFinished || response.destroyed) {
    return;
  }
  await new Promise<void>((resolve) => {
    response.once("finish", resolve);
    response.once("close", resolve);
  });
}

async function waitForDrain(response: ServerResponse): Promise<void> {
  if (!response.writableNeedDrain || response.destroyed) {
    return;
  }
  await new Promise<void>((resolve) => {
    response.once("drain", resolve);
    response.once("close", resolve);
  });
}
