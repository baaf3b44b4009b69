import type { ConsensusMessage, ReplicaMember } from "@heroncleat/schema";

/** Inputs of a replica. The caller chooses the tokens. @public */
export type ReplicaEvent =
  | { readonly kind: "tick" }
  | { readonly kind: "message"; readonly message: ConsensusMessage }
  | {
    readonly kind: "propose";
    readonly token: string;
    readonly command: unknown;
  }
  | {
    readonly kind: "change_members";
    readonly token: string;
    readonly members: readonly ReplicaMember[];
  }
  | { readonly kind: "read"; readonly token: string }
  | { readonly kind: "persisted"; readonly number: number }
  | {
    readonly kind: "snapshot_taken";
    readonly index: number;
    readonly data: string;
  }
  | { readonly kind: "step_down" };
