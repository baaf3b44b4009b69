import type { JournalRecord, LogSnapshot } from "@heroncleat/schema";

/** Contents of a replica's disk at the start of the process. @public */
export type StoredReplica = {
  readonly snapshot: LogSnapshot | undefined;
  readonly records: readonly JournalRecord[];
};
