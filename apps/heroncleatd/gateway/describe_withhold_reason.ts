import type { WithholdReason } from "./withhold_reason.ts";

/**
 * Formats the reason why a request wasn't forwarded for the `attempts` log
 * field.
 */
export function describeWithholdReason(reason: WithholdReason): string {
  return reason === "leaving"
    ? "leaving, it may take longer than this entry stays"
    : `${reason}, upstreams ended under it`;
}
