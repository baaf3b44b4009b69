import type { Fault } from "@heroncleat/base";
import type { RouteChoice } from "@heroncleat/routing";

/** The upstream chosen for an attempt, or the reason why there is none. */
export type RouteResult =
  | { readonly kind: "chosen"; readonly choice: RouteChoice }
  | { readonly kind: "unroutable"; readonly fault: Fault };
