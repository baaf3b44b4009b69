import type { Readable } from "node:stream";
import type { Milliseconds } from "@heroncleat/base";
import { ReadTurns } from "./read_turns.ts";

const KIB = 1024;
const MIB = 1024 * KIB;

const MAX_DROPPED_BYTES = 64 * MIB;
/** Bytes that are read at once; at full speed they would fill the memory. */
const DROPPED_AT_ONCE = 64 * KIB;
/** Turns of all connections together in 20 ms, 50 MiB/s. */
const TURNS = 16;

const turns = new ReadTurns(TURNS);

type DropOptions = {
  /** Time for which bytes are read. */
  readonly maxTime: Milliseconds;
  /** Time without bytes after which no more are awaited. */
  readonly maxSilence: Milliseconds;
  /** Returns whether to read on after a number of chunks and bytes. */
  readonly accepts?: (read: { chunks: number; bytes: number }) => boolean;
  /** Called once no more is read. */
  readonly onLimit: () => void;
};

/**
 * Reads and drops what the caller of a refused request still sends, within
 * limits: a connection that is closed with bytes unread is reset, and its caller
 * may lose the response. Returns a function that stops it.
 */
export function dropInTurns(
  readable: Readable,
  { maxTime, maxSilence, accepts = () => true, onLimit }: DropOptions,
): () => void {
  let chunks = 0;
  let bytes = 0;
  let pauseAt = DROPPED_AT_ONCE;
  let leaveTurns = () => {};
  const stop = () => {
    clearTimeout(timer);
    clearTimeout(silenceTimer);
    leaveTurns();
    readable.off("data", onData);
  };
  const end = () => {
    readable.pause();
    stop();
    onLimit();
  };
  const onData = (chunk: Buffer) => {
    chunks += 1;
    bytes += chunk.length;
    silenceTimer.refresh();
    if (bytes >= MAX_DROPPED_BYTES) {
      end();
    } else if (!accepts({ chunks, bytes })) {
      readable.off("data", onData);
      readable.pause();
    } else if (bytes >= pauseAt) {
      pauseAt = bytes + DROPPED_AT_ONCE;
      readable.pause();
      leaveTurns = turns.add(() => {
        silenceTimer.refresh();
        readable.resume();
      });
    }
  };
  const timer = setTimeout(end, maxTime);
  const silenceTimer = setTimeout(end, maxSilence);
  timer.unref();
  silenceTimer.unref();
  readable.on("data", onData);
  readable.resume();
  return stop;
}
