import type { WithholdReason } from "./withhold_reason.ts";

/** How a request that wasn't sent on shows among its attempts in the log. */
export function describeWithholdReason(withheld: WithholdReason): string {
  return withheld === "leaving"
    ? "leaving, it may take longer than this entry stays"
    : `${withheld}, upstreams ended under it`;
}
