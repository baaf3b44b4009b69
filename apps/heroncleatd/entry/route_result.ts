import type { Fault } from "@heroncleat/base";
import type { RouteChoice } from "@heroncleat/routing";

/** Where an attempt goes, or why it can't go anywhere now. */
export type RouteResult =
  | { readonly kind: "chosen"; readonly choice: RouteChoice }
  | { readonly kind: "unroutable"; readonly fault: Fault };
