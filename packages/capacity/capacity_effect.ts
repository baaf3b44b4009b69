import type { Offer } from "./offer.ts";

/**
 * An action that the caller of `CapacityPlanner.plan` must carry out in the
 * cloud.
 *
 * @public
 */
export type CapacityEffect =
  | { readonly kind: "start"; readonly offer: Offer }
  /** Drain the VM, then release it. */
  | { readonly kind: "stop"; readonly vm: string };
