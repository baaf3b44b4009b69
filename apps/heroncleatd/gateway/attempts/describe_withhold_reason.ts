import type { WithholdReason } from "./withhold_reason.ts";

/**
 * Formats the reason why a request wasn't forwarded for the `attempts` log
 * field.
 */
export function describeWithholdReason(
  { kind, part }: { kind: WithholdReason; part?: string | undefined },
): string {
  if (kind === "leaving") {
    return "leaving, it may take longer than this entry stays";
  }
  return part === undefined
    ? `${kind}, upstreams ended under it`
    : `${kind}, upstreams ended under it: ${part}`;
}
