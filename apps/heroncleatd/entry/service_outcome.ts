import type { Fault } from "@heroncleat/base";
import type { Outcome } from "@heroncleat/schema";

/** Outcome of sending a call to services. */
export type ServiceOutcome =
  | { readonly kind: "answered"; readonly outcome: Outcome }
  /** No service was reached, or each reported that it did not run the call. */
  | { readonly kind: "not_run"; readonly fault: Fault }
  | { readonly kind: "unknown"; readonly fault: Fault };
