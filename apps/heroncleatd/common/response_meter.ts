import { byteLimits } from "./byte_limits.ts";
import { EndlessShape } from "./endless_shape.ts";
import type { ExceededLimit } from "./exceeded_limit.ts";

/**
 * Compares the bytes received for a response with its heads and its body. Each
 * method returns the limit that was exceeded, if any.
 */
export class ResponseMeter {
  #informationalHeads = 0;
  #hasHead = false;
  #bodyBytes = 0;

  /** Records the head of the response itself. */
  recordHead(): void {
    this.#hasHead = true;
  }

  recordInformationalHead(received: number): ExceededLimit | undefined {
    this.#informationalHeads += 1;
    const limit = byteLimits.informationalHeads;
    return this.#informationalHeads > limit
      ? {
        shape: EndlessShape.informationalHeads,
        bytes: received,
        limit,
      }
      : undefined;
  }

  recordBody(bytes: number): void {
    this.#bodyBytes += bytes;
  }

  /**
   * Checks the bytes received so far. The body among them must have been
   * recorded before.
   */
  check(received: number): ExceededLimit | undefined {
    if (!this.#hasHead) {
      return received > byteLimits.heads
        ? {
          shape: this.#informationalHeads > 0
            ? EndlessShape.informationalHeads
            : EndlessShape.head,
          bytes: received,
          limit: byteLimits.heads,
        }
        : undefined;
    }
    const bytes = received - this.#bodyBytes;
    const limit = byteLimits.framing +
      byteLimits.framingPerBodyByte * this.#bodyBytes;
    return bytes > limit
      ? { shape: EndlessShape.framing, bytes, limit }
      : undefined;
  }
}
