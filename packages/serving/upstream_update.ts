import type { UpstreamRecord } from "./upstream_record.ts";

/** Comparison of a record with an update of the same instance. @internal */
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

/**
 * Whether two records differ in nothing but the heartbeat's sequence number.
 */
function differsOnlyInSequence(
  left: UpstreamRecord,
  right: UpstreamRecord,
): boolean {
  return left.service === right.service && left.address === right.address &&
    left.zone === right.zone && left.slots === right.slots &&
    left.state === right.state && left.isSpot === right.isSpot &&
    left.leavesIn === right.leavesIn && left.version === right.version &&
    (left.isCold ?? false) === (right.isCold ?? false);
}

/** A later state takes precedence even from an older heartbeat. */
function isNewer(update: UpstreamRecord, known: UpstreamRecord): boolean {
  return update.sequence > known.sequence ||
    STATE_ORDER.indexOf(update.state) > STATE_ORDER.indexOf(known.state);
}
