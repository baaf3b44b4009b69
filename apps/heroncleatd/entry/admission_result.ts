import type { Fault } from "@heroncleat/base";

/** Whether a request may run now. */
export type AdmissionResult =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly fault: Fault };
