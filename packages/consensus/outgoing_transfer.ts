import type { LogEntry, LogSnapshot } from "@heroncleat/schema";

/**
 * A snapshot, or an entry that is too large for one message, that the leader
 * sends to a member in chunks.
 *
 * @internal
 */
export type OutgoingTransfer =
  & {
    /** Log index that the member has once the transfer is complete. */
    readonly index: number;
    readonly data: string;
    /** Characters that the member has received. */
    offset: number;
  }
  & (
    | { readonly kind: "snapshot"; readonly snapshot: LogSnapshot }
    | {
      readonly kind: "entry";
      readonly entry: LogEntry;
      readonly previousTerm: number;
    }
  );
