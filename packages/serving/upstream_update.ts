import type { UpstreamRecord } from "./upstream_record.ts";

/** How what is known of a start and an update of it go together. @internal */
export const upstreamUpdate = {
  isNewer,
  differsOnlyInSequence,
  laterState,
};

const STATE_ORDER = ["ready", "draining", "gone"];

function laterState(
  left: UpstreamRecord["state"],
  right: UpstreamRecord["state"],
): UpstreamRecord["state"] {
  return STATE_ORDER.indexOf(left) > STATE_ORDER.indexOf(right) ? left : right;
}

/** Whether two records differ in nothing but the heartbeat's number. */
function differsOnlyInSequence(
  left: UpstreamRecord,
  right: UpstreamRecord,
): boolean {
  return left.service === right.service && left.address === right.address &&
    left.zone === right.zone && left.slots === right.slots &&
    left.state === right.state && left.isSpot === right.isSpot &&
    left.leavesIn === right.leavesIn;
}

/** A later state counts even from an older heartbeat. */
function isNewer(updates: UpstreamRecord, known: UpstreamRecord): boolean {
  return updates.sequence > known.sequence ||
    STATE_ORDER.indexOf(updates.state) > STATE_ORDER.indexOf(known.state);
}
