import type { JournalRecord, LogSnapshot } from "@heroncleat/schema";

/** What a replica's disk held when the process started. @public */
export type StoredReplica = {
  readonly snapshot: LogSnapshot | undefined;
  readonly records: readonly JournalRecord[];
};
