import type { CopyReply, TextPiece } from "@heroncleat/schema";
import type { Milliseconds } from "@heroncleat/base";

/** What an owned request reacts to. @public */
export type RequestEvent =
  | { readonly kind: "start" }
  | { readonly kind: "tick" }
  | {
    readonly kind: "copy_answered";
    readonly number: number;
    readonly reply: CopyReply;
  }
  | { readonly kind: "copy_failed"; readonly number: number }
  /** Answer to `choose_standby`; empty when no other entry is alive. */
  | { readonly kind: "standby_chosen"; readonly standby: string }
  | {
    readonly kind: "standby_moved";
    readonly epoch: number;
    readonly standby: string;
  }
  /** The ledger could not be asked. */
  | { readonly kind: "standby_kept" }
  /** The ledger names another owner. */
  | { readonly kind: "custody_lost"; readonly owner: string }
  | {
    readonly kind: "routed";
    readonly attempt: number;
    readonly upstream: string;
  }
  | { readonly kind: "unroutable"; readonly attempt: number }
  | {
    readonly kind: "piece";
    readonly attempt: number;
    /** Place within the attempt, from 0. */
    readonly position: number;
    readonly piece: Pick<TextPiece, "text" | "tokens">;
  }
  | {
    readonly kind: "attempt_finished";
    readonly attempt: number;
    /** Pieces the attempt had in all. */
    readonly pieces: number;
    readonly reason: string;
  }
  | {
    readonly kind: "attempt_failed";
    readonly attempt: number;
    readonly message: string;
  }
  | {
    readonly kind: "upstream_leaving";
    readonly upstream: string;
    readonly reclaimIn: Milliseconds;
  }
  /** Upstreams end under it, so that it isn't sent on any more. */
  | { readonly kind: "rejected" }
  | { readonly kind: "hand_over" }
  /** The standby did not take over. */
  | { readonly kind: "hand_over_failed" };
