import type { Milliseconds } from "@heroncleat/base";
import { byteLimits } from "../../common/byte_limits.ts";
import { EndlessShape } from "../../common/endless_shape.ts";
import type { ExceededLimit } from "../../common/exceeded_limit.ts";

/** What is left of a stream's bytes after one read. */
type StreamRead = {
  /** Bytes of lines and events that were passed on. */
  readonly passedOn: number;
  /** Whether the events among them let the stream go on. */
  readonly isProgress: boolean;
  /** Bytes of the unfinished line. */
  readonly lineBytes: number;
  /** Bytes of the unfinished event. */
  readonly heldBytes: number;
};

/**
 * Limits an event stream. Comments, and events that don't let the stream go on,
 * are allowed as far as keep-alives need them.
 */
export class StreamLimits {
  /** Bytes since the last progress, less those allowed for the time since. */
  #withoutProgress = 0;
  #checkedAt: Milliseconds;

  constructor(now: Milliseconds) {
    this.#checkedAt = now;
  }

  /** Returns the limit that a read exceeded, if any. */
  check(read: StreamRead, now: Milliseconds): ExceededLimit | undefined {
    const allowed = (now - this.#checkedAt) *
      byteLimits.withoutProgressPerMillisecond;
    this.#checkedAt = now;
    this.#withoutProgress = read.isProgress
      ? 0
      : Math.max(0, this.#withoutProgress - allowed) + read.passedOn;
    if (read.lineBytes > byteLimits.line) {
      const limit = byteLimits.line;
      return { shape: EndlessShape.line, bytes: read.lineBytes, limit };
    }
    if (read.heldBytes > byteLimits.event) {
      const limit = byteLimits.event;
      return { shape: EndlessShape.event, bytes: read.heldBytes, limit };
    }
    const limit = byteLimits.withoutProgress;
    return this.#withoutProgress > limit
      ? {
        shape: EndlessShape.withoutProgress,
        bytes: Math.round(this.#withoutProgress),
        limit,
      }
      : undefined;
  }
}
