import { demandLimits } from "./demand_limits.ts";
import type { DemandRow } from "./demand_row.ts";

/**
 * Limits the rows of a service; the smallest beyond the limit are summed by
 * rank under the empty workspace name.
 *
 * @public
 */
export function limitRows(rows: readonly DemandRow[]): readonly DemandRow[] {
  if (rows.length <= demandLimits.maxRows) {
    return rows;
  }
  const ranks = new Set(rows.map(({ priority }) => priority));
  const keptCount = Math.max(0, demandLimits.maxRows - ranks.size);
  const named = rows.filter(({ workspace }) => workspace !== "")
    .sort((left, right) => right.asked - left.asked);
  const kept = named.slice(0, keptCount);
  const rest = [
    ...named.slice(keptCount),
    ...rows.filter(({ workspace }) => workspace === ""),
  ];
  for (const priority of ranks) {
    const summed = rest.filter((row) => row.priority === priority);
    if (summed.length > 0) {
      kept.push({
        priority,
        workspace: "",
        asked: summed.reduce((sum, { asked }) => sum + asked, 0),
        admitted: summed.reduce((sum, { admitted }) => sum + admitted, 0),
      });
    }
  }
  return kept;
}
