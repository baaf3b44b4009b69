import type { Rollout, VersionReport } from "@heroncleat/rollouts";
import type { SyncRequest } from "./sync_request.ts";

/** What one entry reported about the rollouts. */
type EntryVersions = {
  readonly revision: number;
  /** The newest samples, which add up since the order. */
  readonly reports: readonly VersionReport[];
};

/**
 * What the entries have reported about rollouts and versions.
 *
 * @internal
 */
export class VersionReports {
  readonly #entries = new Map<string, EntryVersions>();

  record(
    entry: string,
    { rolloutRevision, versions }: Pick<
      SyncRequest,
      "rolloutRevision" | "versions"
    >,
  ): void {
    if (rolloutRevision !== undefined) {
      this.#entries.set(entry, {
        revision: rolloutRevision,
        reports: versions ?? this.#entries.get(entry)?.reports ?? [],
      });
    }
  }

  remove(entry: string): void {
    this.#entries.delete(entry);
  }

  list({ service, startedAt }: Rollout): VersionReport[] {
    const reports: VersionReport[] = [];
    for (const entry of this.#entries.values()) {
      for (const report of entry.reports) {
        if (report.service === service && report.startedAt === startedAt) {
          reports.push(report);
        }
      }
    }
    return reports;
  }

  isFollowedByAll(revision: number, entries: readonly string[]): boolean {
    return entries.every((entry) =>
      (this.#entries.get(entry)?.revision ?? 0) >= revision
    );
  }
}
