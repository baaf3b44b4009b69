import type { Fault } from "@heroncleat/base";

/**
 * The outcome of a request at admission.
 *
 * @public
 */
export type AdmissionDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "queued" }
  | { readonly kind: "refused"; readonly fault: Fault };
