import type { Fault } from "@heroncleat/base";
import type { CopyMessage, TextPiece } from "@heroncleat/schema";

/**
 * An action that the owner of a request must carry out, in the order given.
 *
 * @public
 */
export type RequestEffect =
  | {
    readonly kind: "copy";
    readonly number: number;
    readonly to: string;
    readonly message: CopyMessage;
  }
  /** The standby holds the request, so a complete response is now owed. */
  | { readonly kind: "accepted" }
  /** The request wasn't accepted; the fault says whether it may still run. */
  | { readonly kind: "refused"; readonly fault: Fault }
  | {
    readonly kind: "route";
    readonly attempt: number;
    readonly exclude: readonly string[];
    /** Upstream to transfer the KV cache from, empty for none. */
    readonly kvSource: string;
  }
  | {
    readonly kind: "dispatch";
    readonly attempt: number;
    readonly upstream: string;
    readonly kvSource: string;
    readonly pieces: readonly TextPiece[];
  }
  | { readonly kind: "cancel"; readonly attempt: number }
  | { readonly kind: "emit"; readonly pieces: readonly TextPiece[] }
  | { readonly kind: "finished"; readonly reason: string }
  | { readonly kind: "failed"; readonly fault: Fault }
  | { readonly kind: "choose_standby"; readonly exclude: readonly string[] }
  /** Proposes the move to the ledger; the new standby holds the copy. */
  | {
    readonly kind: "move_standby";
    readonly expectedEpoch: number;
    readonly standby: string;
  }
  /** Requests the standby to become the owner. */
  | { readonly kind: "hand_over"; readonly standby: string }
  | { readonly kind: "handed_over"; readonly owner: string }
  | { readonly kind: "fenced"; readonly owner: string };
