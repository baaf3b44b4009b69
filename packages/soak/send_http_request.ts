import { type Agent, request } from "node:http";
import { type Milliseconds, splitAddress } from "@heroncleat/base";

type HttpResponse = {
  readonly status: number;
  readonly body: string;
  /** When the first bytes of the body arrived; undefined without any. */
  readonly firstByteAt: Milliseconds | undefined;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Whether a length or chunks told that the body is complete. */
  readonly isFramed: boolean;
};

/** Why no complete response arrived, and what arrived of the body. */
type HttpFailure = {
  readonly status: 0;
  readonly reason: string;
  readonly partialBody: string;
  readonly firstByteAt: Milliseconds | undefined;
};

const CLOSED_BY_CALLER = "closed by the caller";

/**
 * Sends one HTTP request and reads the complete response.
 *
 * @returns The response; status 0 if it isn't complete within the timeout.
 */
export function sendHttpRequest(
  address: string,
  options: {
    method: string;
    path: string;
    body?: string;
    headers?: Record<string, string>;
    timeout: Milliseconds;
    agent?: Agent;
    /** Bytes of the body after which the connection is closed. */
    closeAfter?: number | undefined;
  },
): Promise<HttpResponse | HttpFailure> {
  const { host, port } = splitAddress(address);
  const bytes = Buffer.from(options.body ?? "");
  return new Promise((resolve) => {
    const clientRequest = request({
      host,
      port,
      method: options.method,
      path: options.path,
      agent: options.agent ?? false,
      headers: {
        ...options.headers,
        ...(bytes.length > 0 ? { "content-length": bytes.length } : {}),
      },
    });
    const chunks: Buffer[] = [];
    let firstByteAt: Milliseconds | undefined;
    const fail = (reason: string) => {
      clearTimeout(timer);
      clientRequest.destroy();
      const partialBody = Buffer.concat(chunks).toString("utf8");
      resolve({ status: 0, reason, partialBody, firstByteAt });
    };
    const timer = setTimeout(() => fail("timeout"), options.timeout);
    clientRequest.on("error", (error) => fail(error.message));
    clientRequest.on("response", (response) => {
      let received = 0;
      response.on("data", (chunk: Buffer) => {
        firstByteAt ??= performance.now();
        chunks.push(chunk);
        received += chunk.length;
        if (received >= (options.closeAfter ?? Infinity)) {
          fail(CLOSED_BY_CALLER);
        }
      });
      response.on("error", (error) => fail(error.message));
      response.on("end", () => {
        if (!response.complete) {
          fail("the response is incomplete");
          return;
        }
        clearTimeout(timer);
        resolve({
          isFramed: response.headers["content-length"] !== undefined ||
            response.headers["transfer-encoding"] !== undefined,
          status: response.statusCode ?? 0,
          body: Buffer.concat(chunks).toString("utf8"),
          headers: response.headers,
          firstByteAt,
        });
      });
    });
    clientRequest.end(bytes);
  });
}
