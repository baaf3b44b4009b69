import type { Membership, MembershipEvent } from "@heroncleat/membership";

/** Messages to the actor that owns the membership state. */
export type MembershipActorMessage =
  | { readonly kind: "event"; readonly event: MembershipEvent }
  | {
    readonly kind: "inspect";
    readonly read: (membership: Membership) => void;
  };
