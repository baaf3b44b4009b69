import type { Fault } from "@heroncleat/base";

/** Result of admission control for one request. */
export type AdmissionResult =
  | { readonly kind: "admitted" }
  | { readonly kind: "refused"; readonly fault: Fault };
