import type { EntryCounters } from "./entry_counters.ts";
import type { SyncReply } from "./sync_reply.ts";
import type { SyncRequest } from "./sync_request.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/** The part of a request that reports counters. */
type ReportedCounters =
  & Pick<SyncRequest, "spent" | "readWork" | "usage">
  & Pick<SyncRequest, "isPartial" | "digest">;

/**
 * Reports an entry's counters to one control replica: whole at first, then what
 * changed since a report that the replica acknowledged. Counters are totals, so
 * a report that arrives twice changes nothing. After a call that failed it isn't
 * known what arrived, and the next report is whole again; so is the one after a
 * replica found that its copy differs.
 *
 * @public
 */
export class CounterReport {
  #feed = "";
  #sent: EntryCounters | undefined;
  #acknowledged: EntryCounters | undefined;

  /**
   * What to report now.
   *
   * @param feed The replica's process, as its last reply named it.
   */
  build(feed: string, counters: EntryCounters): ReportedCounters {
    const known = feed === this.#feed ? this.#acknowledged : undefined;
    this.#sent = counters;
    const digest = sum(counters.spent);
    if (known === undefined) {
      return { ...counters, isPartial: false, digest };
    }
    return {
      spent: changedTotals(counters.spent, known.spent),
      readWork: changedTotals(counters.readWork, known.readWork),
      usage: changedUsage(counters.usage, known.usage),
      isPartial: true,
      digest,
    };
  }

  /** Takes in that a replica answered the last report. */
  handleReply(
    reply: Pick<SyncReply, "feed" | "takesPartial" | "needsWhole">,
  ): void {
    const isAccepted = reply.takesPartial === true && !reply.needsWhole;
    this.#feed = reply.feed;
    this.#acknowledged = isAccepted ? this.#sent : undefined;
  }

  /** Takes in that it isn't known whether the last report arrived. */
  handleFailure(): void {
    this.#acknowledged = undefined;
  }
}

function sum(totals: Readonly<Record<string, number>>): number {
  let total = 0;
  for (const amount of Object.values(totals)) {
    total += amount;
  }
  return total;
}

function changedTotals(
  totals: Readonly<Record<string, number>>,
  known: Readonly<Record<string, number>>,
): Record<string, number> {
  const changes: Record<string, number> = {};
  for (const [name, total] of Object.entries(totals)) {
    if (total !== known[name]) {
      changes[name] = total;
    }
  }
  return changes;
}

function changedUsage(
  usage: EntryCounters["usage"],
  known: EntryCounters["usage"],
): Record<string, WorkspaceCounts> {
  const changes: Record<string, WorkspaceCounts> = {};
  for (const [window, counts] of Object.entries(usage)) {
    const windowChanges = changedTotals(counts, known[window] ?? {});
    if (Object.keys(windowChanges).length > 0) {
      changes[window] = windowChanges;
    }
  }
  return changes;
}
