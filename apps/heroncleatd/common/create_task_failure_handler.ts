import { type Clock, RateLimiter } from "@heroncleat/base";
import type { Log } from "./log.ts";
import type { Metrics } from "./metrics.ts";

const LINES_PER_SECOND = 1;
const LINE_BURST = 20;

/**
 * Creates the handler of rejections that nobody handled, for `process.on`. Such
 * a rejection ends its task alone. Tasks that must run again see to that
 * themselves, and what a process can't do without ends it by itself.
 */
export function createTaskFailureHandler(
  { log, metrics, clock }: {
    log: Log;
    metrics: Pick<Metrics, "increment">;
    clock: Pick<Clock, "steady">;
  },
): (error: unknown) => void {
  const limiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST);
  return (error) => {
    metrics.increment("background_tasks.failed");
    if (!limiter.tryConsume(clock.steady())) {
      return;
    }
    const { code, message, stack } = (error ?? {}) as Partial<
      NodeJS.ErrnoException
    >;
    log.error("A background task failed", {
      code: code ?? "",
      reason: message ?? String(error),
      error: stack ?? "",
    });
  };
}
