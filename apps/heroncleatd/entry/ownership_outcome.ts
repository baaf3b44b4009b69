import type { Fault } from "@heroncleat/base";

/** Whether a request was accepted, that is, stored here and at its standby. */
export type OwnershipOutcome =
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly fault: Fault };
