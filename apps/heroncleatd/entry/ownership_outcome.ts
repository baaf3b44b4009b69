import type { Fault } from "@heroncleat/base";

/** Whether this entry and a standby now hold a request. */
export type OwnershipOutcome =
  | { readonly kind: "accepted" }
  | { readonly kind: "refused"; readonly fault: Fault };
