import type { Fault } from "@heroncleat/base";
import type { CopyMessage, TextPiece } from "@heroncleat/schema";

/** What the owner of a request must do, in the order given. @public */
export type RequestEffect =
  | {
    readonly kind: "copy";
    readonly number: number;
    readonly to: string;
    readonly message: CopyMessage;
  }
  /** The copy is held: from here on the request is owed its whole answer. */
  | { readonly kind: "accepted" }
  /** No copy could be made and nothing was run. */
  | { readonly kind: "refused"; readonly fault: Fault }
  | {
    readonly kind: "route";
    readonly attempt: number;
    readonly exclude: readonly string[];
    /** Upstream whose KV cache is to be moved, empty for none. */
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
  /** Asks the ledger; the new standby already holds the copy. */
  | {
    readonly kind: "move_standby";
    readonly expectedEpoch: number;
    readonly standby: string;
  }
  /** Asks the standby to become the owner. */
  | { readonly kind: "hand_over"; readonly standby: string }
  | { readonly kind: "handed_over"; readonly owner: string }
  | { readonly kind: "fenced"; readonly owner: string };
