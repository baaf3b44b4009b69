import type { Announcement, MembershipMessage } from "@heroncleat/schema";

/** An input of the membership state machine. @public */
export type MembershipEvent =
  | { readonly kind: "tick" }
  | { readonly kind: "message"; readonly message: MembershipMessage }
  | { readonly kind: "announce"; readonly announcement: Announcement }
  | { readonly kind: "revision"; readonly revision: number }
  | { readonly kind: "leave" };
