import type { Log } from "./log.ts";
import { RateBudget } from "./rate_budget.ts";

/** Lines a second that a process writes at most, and their burst. */
const LINES_PER_SECOND = 200;
const LINE_BURST = 1000;
/** Bytes that may wait for a reader that is slow or gone. */
const MOST_WAITING_BYTES = 1024 * 1024;

type Context = Record<string, string | number>;

/**
 * Makes logs of one JSON object a line on standard output. Beyond a budget,
 * or while nobody reads, lines are dropped and counted; writing never waits.
 */
export function createBoundedLogs(processName: string): (part: string) => Log {
  const budget = new RateBudget(LINES_PER_SECOND, LINE_BURST);
  let droppedBefore = 0;
  const write = (level: string, sentence: string, context: Context) => {
    const isFull = process.stdout.writableLength > MOST_WAITING_BYTES;
    const isUrgent = level === "error";
    if (isFull || !(isUrgent || budget.take(performance.now()))) {
      droppedBefore += 1;
      return;
    }
    const line = {
      time: new Date().toISOString(),
      level,
      process: processName,
      message: sentence,
      ...context,
      ...droppedBefore > 0 ? { droppedBefore } : {},
    };
    droppedBefore = 0;
    process.stdout.write(`${JSON.stringify(line)}\n`);
  };
  return (part) => {
    const at = (level: string) => (sentence: string, context: Context = {}) =>
      write(level, `${part}: ${sentence}`, context);
    return {
      debug: () => {},
      info: at("info"),
      warn: at("warn"),
      error: at("error"),
    };
  };
}
