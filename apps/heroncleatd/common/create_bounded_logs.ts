import { RateLimiter } from "@heroncleat/base";
import type { Log } from "./log.ts";

/** Rate limit of a process's log lines. */
const LINES_PER_SECOND = 200;
const LINE_BURST = 1000;
/** Limit of buffered output while the reader is slow or gone. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

type Context = Record<string, string | number>;

/**
 * Creates logs that write one JSON object per line to standard output. Lines
 * beyond the rate limit or the buffer limit are dropped and counted; writing
 * never blocks.
 */
export function createBoundedLogs(processName: string): (part: string) => Log {
  const limiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST);
  let droppedBefore = 0;
  const write = (level: string, message: string, context: Context) => {
    const isFull = process.stdout.writableLength > MAX_BUFFERED_BYTES;
    const isUrgent = level === "error";
    if (isFull || !(isUrgent || limiter.tryConsume(performance.now()))) {
      droppedBefore += 1;
      return;
    }
    const line = {
      time: new Date().toISOString(),
      level,
      process: processName,
      message,
      ...context,
      ...droppedBefore > 0 ? { droppedBefore } : {},
    };
    droppedBefore = 0;
    process.stdout.write(`${JSON.stringify(line)}\n`);
  };
  return (part) => {
    const logAt = (level: string) => (message: string, context: Context = {}) =>
      write(level, `${part}: ${message}`, context);
    return {
      debug: () => {},
      info: logAt("info"),
      warn: logAt("warn"),
      error: logAt("error"),
    };
  };
}
