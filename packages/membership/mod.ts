/**
 * Membership of entries and upstreams: failure detection and gossip as a state
 * machine without I/O, and the choice of entries for callers and copies.
 *
 * @module
 */
export type { MembershipEffect } from "./membership_effect.ts";
export type { MembershipEvent } from "./membership_event.ts";
export type { MembershipSettings } from "./membership_settings.ts";
export { chooseStandby } from "./choose_standby.ts";
export { listEntries } from "./list_entries.ts";
export { Membership } from "./membership.ts";
