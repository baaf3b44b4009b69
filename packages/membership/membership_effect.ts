import type {
  MemberRecord,
  MembershipMessage,
  UpstreamRecord,
} from "@heroncleat/schema";

/**
 * An action that the caller of `Membership.handle` must carry out.
 *
 * @public
 */
export type MembershipEffect =
  | {
    readonly kind: "send";
    readonly address: string;
    readonly message: MembershipMessage;
  }
  | { readonly kind: "member_changed"; readonly member: MemberRecord }
  | { readonly kind: "upstream_changed"; readonly upstream: UpstreamRecord }
  | { readonly kind: "upstream_lapsed"; readonly name: string }
  /**
   * This entry has received the upstreams of another member, or the wait for
   * them timed out. Emitted once.
   */
  | { readonly kind: "informed" };
