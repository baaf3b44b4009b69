import type { IncomingMessage } from "node:http";
import { type Clock, type Milliseconds, timerDelay } from "@heroncleat/base";
import type { ByteBudget, ByteHold } from "../common/byte_budget.ts";
import { ByteCollector } from "../common/byte_collector.ts";
import { byteLimits } from "../common/byte_limits.ts";
import type { ChunkLimit } from "../common/chunk_limit.ts";
import { hasTooManyChunks } from "../common/has_too_many_chunks.ts";
import type { UnfinishedBodies } from "../common/unfinished_bodies.ts";
import type { InFlightRequests } from "./shutdown/in_flight_requests.ts";

/** A complete body, or the reason why it couldn't be read. */
export type RequestBody =
  | {
    readonly kind: "complete";
    readonly bytes: Buffer;
    /** Must be called once the bytes are no longer needed. */
    readonly release: () => void;
  }
  | { readonly kind: "too_large" }
  /** It came in too many chunks. */
  | { readonly kind: "fragmented" }
  /** There is no room for it beside the bodies of other requests. */
  | { readonly kind: "no_room"; readonly retryAfter: Milliseconds }
  /** It wasn't complete in time. */
  | { readonly kind: "late" }
  /** This entry exits before it is complete. */
  | { readonly kind: "leaving" }
  | { readonly kind: "broken" };

type ReadOptions = {
  /** Largest body, in bytes. */
  readonly limit: number;
  readonly chunkLimit: ChunkLimit;
  /** What the bodies of all requests hold. */
  readonly budget: ByteBudget;
  /** Monotonic time by which it must be complete. */
  readonly deadline: Milliseconds;
  readonly clock: Pick<Clock, "steady">;
  readonly inFlight: Pick<InFlightRequests, "onGiveUp">;
  /** The bodies that are being read. */
  readonly unfinished: UnfinishedBodies;
};

/**
 * Reads the body of a caller's request. What it needs is held before it is
 * read; without room nothing of it is kept.
 */
export function readRequestBody(
  incoming: IncomingMessage,
  options: ReadOptions,
): Promise<RequestBody> {
  const { limit, chunkLimit, budget, deadline, clock } = options;
  const stated = Number(incoming.headers["content-length"] ?? 0);
  if (stated > limit) {
    return Promise.resolve({ kind: "too_large" });
  }
  const noRoom = (bytes: number): RequestBody => ({
    kind: "no_room",
    retryAfter: budget.expectedWait(bytes),
  });
  let hold: ByteHold | undefined;
  /** Small bodies aren't counted. */
  const holdBytes = (bytes: number): boolean => {
    if (bytes <= byteLimits.uncounted) {
      return true;
    }
    if (hold !== undefined) {
      return hold.resize(bytes);
    }
    hold = budget.tryHold(bytes);
    return hold !== undefined;
  };
  if (!holdBytes(stated)) {
    return Promise.resolve(noRoom(stated));
  }
  return new Promise((resolve) => {
    const collector = new ByteCollector({ copiesFirst: true });
    const isChunked = incoming.headers["transfer-encoding"] !== undefined;
    let chunks = 0;
    let isSettled = false;
    const stopListeners: (() => void)[] = [];
    const settle = (body: RequestBody) => {
      if (isSettled) {
        return;
      }
      isSettled = true;
      clearTimeout(timer);
      for (const stop of stopListeners) {
        stop();
      }
      incoming.off("data", onData);
      if (body.kind !== "complete") {
        collector.clear();
        hold?.release();
      }
      resolve(body);
    };
    const onData = (chunk: Buffer) => {
      collector.append(chunk);
      chunks += 1;
      const bytes = collector.length;
      if (bytes > limit) {
        settle({ kind: "too_large" });
      } else if (isChunked && hasTooManyChunks({ chunks, bytes }, chunkLimit)) {
        settle({ kind: "fragmented" });
      } else if (bytes > stated && !holdBytes(bytes)) {
        settle(noRoom(bytes));
      }
    };
    // After a pause of the process, timers run before bytes are read that have
    // arrived in time.
    const giveUp = () => settle({ kind: "late" });
    const timer = setTimeout(
      () => setImmediate(giveUp),
      timerDelay(deadline - clock.steady()),
    );
    stopListeners.push(
      options.inFlight.onGiveUp(() => settle({ kind: "leaving" })),
      options.unfinished.add(giveUp),
    );
    incoming.on("data", onData);
    incoming.once("end", () => {
      const release = () => hold?.release();
      settle({ kind: "complete", bytes: collector.take(), release });
    });
    incoming.once("error", () => settle({ kind: "broken" }));
    incoming.once("close", () => settle({ kind: "broken" }));
  });
}
