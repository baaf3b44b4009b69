import type { Fault } from "@heroncleat/base";
import type { Outcome } from "@heroncleat/schema";

/** What sending a call to services came to. */
export type ServiceOutcome =
  | { readonly kind: "answered"; readonly outcome: Outcome }
  /** No byte reached a service, or each said that it did not run the call. */
  | { readonly kind: "not_run"; readonly fault: Fault }
  | { readonly kind: "unknown"; readonly fault: Fault };
