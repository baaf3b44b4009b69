import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import type { Milliseconds } from "@heroncleat/base";

/** A response as raw bytes, and how its connection ended. */
export type RawResponse = {
  readonly head: string;
  readonly body: string;
  readonly isReset: boolean;
};

type ReadOptions = {
  readonly method: string;
  /** Further header lines of the request, each with its line end. */
  readonly headers?: string;
  /** Time without a byte after which the response counts as read. */
  readonly silence?: Milliseconds;
  /** Collects what must be called at the end of the test. */
  readonly onClose: (close: () => void) => void;
};

/**
 * Sends a request to a test's entry and reads until the last chunk, or until
 * the connection ends or falls silent.
 */
export function readRawResponse(
  entry: Server,
  { method, headers = "", silence = 300, onClose }: ReadOptions,
): Promise<RawResponse> {
  return new Promise((resolve) => {
    const caller = connect((entry.address() as AddressInfo).port, "127.0.0.1");
    onClose(() => caller.destroy());
    let bytes = "";
    let isReset = false;
    const finish = () => {
      const at = bytes.indexOf("\r\n\r\n");
      resolve({
        head: bytes.slice(0, at),
        body: bytes.slice(at + 4),
        isReset,
      });
    };
    caller.write(
      `${method} / HTTP/1.1\r\nHost: h\r\nx-attempt: a\r\n${headers}` +
        "Content-Length: 0\r\n\r\n",
    );
    caller.on("data", (chunk) => {
      bytes += chunk;
      if (bytes.endsWith("\r\n0\r\n\r\n")) {
        finish();
      }
    });
    caller.on("error", () => isReset = true);
    caller.on("close", finish);
    caller.setTimeout(silence, finish);
  });
}
