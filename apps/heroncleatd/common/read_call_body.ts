import type { IncomingMessage } from "node:http";
import { type Milliseconds, timerDelay } from "@heroncleat/base";
import type { ByteBudget, ByteHold } from "./byte_budget.ts";
import { ByteCollector } from "./byte_collector.ts";
import type { ChunkLimit } from "./chunk_limit.ts";
import { hasTooManyChunks } from "./has_too_many_chunks.ts";
import type { UnfinishedBodies } from "./unfinished_bodies.ts";

/** A complete body, or the reason why it couldn't be read. */
export type CallBody =
  | {
    readonly kind: "complete";
    readonly bytes: Buffer;
    /** Must be called once the bytes are no longer needed. */
    readonly release: () => void;
  }
  | { readonly kind: "too_large" }
  | { readonly kind: "too_many_chunks" }
  /** There is no room for it beside the bodies of other calls. */
  | { readonly kind: "no_room"; readonly retryAfter: Milliseconds }
  /** It wasn't complete in time. */
  | { readonly kind: "late" }
  /** The caller has closed its connection. */
  | { readonly kind: "broken" };

type ReadOptions = {
  /** Largest body, in bytes. */
  readonly limit: number;
  readonly chunkLimit: ChunkLimit;
  /** What the bodies of all calls hold. */
  readonly budget: ByteBudget;
  /** Time from now until the body must be complete. */
  readonly timeout: Milliseconds;
  /** The bodies that are being read. */
  readonly unfinished: UnfinishedBodies;
};

/**
 * Reads the body of a call. What it needs is held before it is read. Nothing is
 * kept of a body that isn't read to its end, and reading it has stopped.
 */
export function readCallBody(
  incoming: IncomingMessage,
  options: ReadOptions,
): Promise<CallBody> {
  const { limit, chunkLimit, budget, timeout, unfinished } = options;
  const stated = Number(incoming.headers["content-length"] ?? 0);
  const isChunked = incoming.headers["transfer-encoding"] !== undefined;
  const noRoom = (bytes: number): CallBody => ({
    kind: "no_room",
    retryAfter: budget.expectedWait(bytes),
  });
  if (stated > limit) {
    return Promise.resolve({ kind: "too_large" });
  }
  const hold: ByteHold | undefined = budget.tryHold(stated);
  if (hold === undefined) {
    return Promise.resolve(noRoom(stated));
  }
  return new Promise((resolve) => {
    const collector = new ByteCollector();
    let chunks = 0;
    let isSettled = false;
    const settle = (body: CallBody) => {
      if (isSettled) {
        return;
      }
      isSettled = true;
      clearTimeout(timer);
      stopListening();
      incoming.off("data", onData);
      if (body.kind !== "complete") {
        incoming.pause();
        collector.clear();
        hold.release();
      }
      resolve(body);
    };
    const onData = (chunk: Buffer) => {
      // A part of a read would keep all of it.
      collector.append(collector.length === 0 ? Buffer.from(chunk) : chunk);
      chunks += 1;
      const bytes = collector.length;
      if (bytes > limit) {
        settle({ kind: "too_large" });
      } else if (isChunked && hasTooManyChunks({ chunks, bytes }, chunkLimit)) {
        settle({ kind: "too_many_chunks" });
      } else if (bytes > stated && !hold.resize(bytes)) {
        settle(noRoom(bytes));
      }
    };
    const giveUp = () => settle({ kind: "late" });
    const stopListening = unfinished.add(giveUp);
    // After a pause of the process, timers run before bytes are read that have
    // arrived in time.
    const timer = setTimeout(() => setImmediate(giveUp), timerDelay(timeout));
    incoming.on("data", onData);
    incoming.once("end", () =>
      settle({
        kind: "complete",
        bytes: collector.take(),
        release: () => hold.release(),
      }));
    incoming.once("error", () => settle({ kind: "broken" }));
    incoming.once("close", () => settle({ kind: "broken" }));
  });
}
