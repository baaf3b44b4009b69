import type { Fault } from "@heroncleat/base";

/** What becomes of an offered request. @public */
export type AdmissionDecision =
  | { readonly kind: "admitted" }
  | { readonly kind: "queued" }
  | { readonly kind: "refused"; readonly fault: Fault };
