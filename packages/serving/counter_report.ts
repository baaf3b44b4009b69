import { createRecord, ownValue } from "@heroncleat/base";
import type { EntryCounters } from "./entry_counters.ts";
import type { SyncReply } from "./sync_reply.ts";
import type { SyncRequest } from "./sync_request.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/** The part of a request that reports counters. */
type ReportedCounters =
  & Pick<SyncRequest, "spent" | "readWork" | "usage">
  & Pick<SyncRequest, "isPartial" | "digest">;

/**
 * Builds the reports of an entry's counters for one control replica: what
 * changed since the last acknowledged one, or all after a failure or a
 * difference. Counters are totals, so reports are idempotent.
 *
 * @public
 */
export class CounterReport {
  #feed = "";
  #sent: EntryCounters | undefined;
  #acknowledged: EntryCounters | undefined;

  /**
   * @param feed Feed ID from the replica's last reply; it identifies its
   * process.
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

  handleReply(
    reply: Pick<SyncReply, "feed" | "takesPartial" | "needsWhole">,
  ): void {
    const isAccepted = reply.takesPartial === true && !reply.needsWhole;
    this.#feed = reply.feed;
    this.#acknowledged = isAccepted ? this.#sent : undefined;
  }

  /** Handles a call without a reply: the report may or may not have arrived. */
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
  const changes = createRecord<number>();
  for (const [name, total] of Object.entries(totals)) {
    if (total !== ownValue(known, name)) {
      changes[name] = total;
    }
  }
  return changes;
}

function changedUsage(
  usage: EntryCounters["usage"],
  known: EntryCounters["usage"],
): Record<string, WorkspaceCounts> {
  const changes = createRecord<WorkspaceCounts>();
  for (const [window, counts] of Object.entries(usage)) {
    const windowChanges = changedTotals(counts, ownValue(known, window) ?? {});
    if (Object.keys(windowChanges).length > 0) {
      changes[window] = windowChanges;
    }
  }
  return changes;
}
