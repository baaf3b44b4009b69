import type { CopyReply, TextPiece } from "@heroncleat/schema";
import type { Milliseconds } from "@heroncleat/base";

/**
 * An event that an owned request handles.
 *
 * @public
 */
export type RequestEvent =
  | { readonly kind: "start" }
  | { readonly kind: "tick" }
  | {
    readonly kind: "copy_answered";
    readonly number: number;
    readonly reply: CopyReply;
  }
  | { readonly kind: "copy_failed"; readonly number: number }
  /** Result of `choose_standby`; empty if no other entry is alive. */
  | { readonly kind: "standby_chosen"; readonly standby: string }
  | {
    readonly kind: "standby_moved";
    readonly epoch: number;
    readonly standby: string;
  }
  /** The ledger couldn't be reached. */
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
    /** Index of the chunk within the attempt, from 0. */
    readonly position: number;
    readonly piece: Pick<TextPiece, "text" | "tokens">;
  }
  | {
    readonly kind: "attempt_finished";
    readonly attempt: number;
    /** Total number of chunks of the attempt. */
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
  /** Several upstreams crashed while running it; it isn't dispatched again. */
  | { readonly kind: "rejected" }
  | { readonly kind: "hand_over" }
  /** The standby didn't take over. */
  | { readonly kind: "hand_over_failed" };
