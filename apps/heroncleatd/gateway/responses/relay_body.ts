import type { IncomingMessage, ServerResponse } from "node:http";
import { writeTogether } from "./write_together.ts";

type RelayOptions = {
  readonly response: ServerResponse;
  /** Returns the bytes to pass on now, if any. */
  readonly transform: (chunk: Buffer) => Buffer | undefined;
};

/**
 * Passes on a body to a caller while it is received, with backpressure. The
 * response isn't ended. Events take less time than iterating over the body.
 *
 * @returns Whether the body is complete.
 */
export function relayBody(
  message: IncomingMessage,
  { response, transform }: RelayOptions,
): Promise<boolean> {
  // It may have failed in the same read as its head, before anyone listened.
  if (message.destroyed) {
    return Promise.resolve(false);
  }
  return new Promise((resolve) => {
    const resume = () => message.resume();
    const settle = (isComplete: boolean) => {
      response.off("drain", resume);
      resolve(isComplete);
    };
    response.on("drain", resume);
    message.on("data", (chunk: Buffer) => {
      const bytes = transform(chunk);
      if (bytes === undefined) {
        return;
      }
      writeTogether(response);
      if (!response.write(bytes)) {
        message.pause();
      }
    });
    message.once("end", () => settle(message.complete));
    message.on("error", () => settle(false));
    message.once("close", () => settle(false));
  });
}
