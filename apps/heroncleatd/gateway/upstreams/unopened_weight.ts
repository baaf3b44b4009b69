import type { AttemptResult } from "../attempts/attempt_result.ts";

/**
 * How much an attempt counts as a sign that this entry's links are at fault: 0
 * if a connection was opened. One that fell silent counts twice, as upstreams
 * that have crashed mostly refuse connections.
 */
export function unopenedWeight(result: AttemptResult): number {
  if (result.kind !== "not_run" || result.unopened === undefined) {
    return 0;
  }
  return result.unopened === "silent" ? 2 : 1;
}
