import type { Fault } from "@heroncleat/base";

/** Whether a request may run now. */
export type AdmissionAnswer =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly fault: Fault };
