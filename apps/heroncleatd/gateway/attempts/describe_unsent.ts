import { describeWithholdReason } from "./describe_withhold_reason.ts";
import type { UnsentResult } from "./unsent_result.ts";

/**
 * Formats, for the `attempts` log field, why no upstream was chosen.
 *
 * @param describeLack Formats which upstreams there are.
 */
export function describeUnsent(
  result: UnsentResult,
  describeLack: () => string,
): string {
  switch (result.kind) {
    case "no_upstream":
      return describeLack();
    case "no_retry":
      return "no retry left";
    case "limited":
      return "all upstreams are at their rate limits";
    case "resting":
      return "all upstreams rest";
    case "overloaded": {
      const facts = result.facts === undefined ? "" : ` (${result.facts})`;
      return `all upstreams are busy for too long${facts}`;
    }
    default:
      return describeWithholdReason(result);
  }
}
