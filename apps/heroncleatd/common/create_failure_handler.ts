import type { Milliseconds } from "@heroncleat/base";

/**
 * Failures of one process until it exits at once: one that fails again and again
 * serves nobody.
 */
const MAX_FAILURES = 20;

type FailureHandlerOptions = {
  readonly report: (error: unknown) => void;
  /** Completes what the process has begun; undefined before there is any. */
  readonly complete: (() => Promise<void>) | undefined;
  /** Limit of that. */
  readonly timeLimit: Milliseconds;
  readonly exit: () => void;
};

/**
 * Creates the handler of exceptions that nobody caught, for `process.on`. Most of
 * them end one event of one connection; other requests can still be completed.
 *
 * @param options Returns the options at the time of a failure.
 */
export function createFailureHandler(
  options: () => FailureHandlerOptions,
): (error: unknown) => void {
  let failures = 0;
  return (error) => {
    failures += 1;
    const { report, complete, timeLimit, exit } = options();
    report(error);
    if (complete === undefined || failures >= MAX_FAILURES) {
      exit();
    } else if (failures === 1) {
      setTimeout(exit, timeLimit);
      complete().catch(report).finally(exit);
    }
  };
}
