import type { Offer } from "./offer.ts";

/** What the owner of the planner must ask the cloud for. @public */
export type CapacityEffect =
  | { readonly kind: "start"; readonly offer: Offer }
  /** Drain it first, then give it back. */
  | { readonly kind: "stop"; readonly vm: string };
