import type { Milliseconds } from "@heroncleat/base";
import type { Rollout } from "./rollout.ts";
import type { RolloutLimits } from "./rollout_limits.ts";
import type { RolloutProgress } from "./rollout_progress.ts";
import { RolloutStage } from "./rollout_stage.ts";
import type { RolloutStep } from "./rollout_step.ts";

/** Share of a canary while the exposure allows it, and afterwards. */
const CANARY_SHARE = 0.2;
const HELD_SHARE = 0.04;
const WIDENED_SHARE = 0.4;
/** Parts of the allowed exposure that a canary may use. */
const USED_EXPOSURE_SHARE = 0.8;
const USED_EXPOSURE_TOLERANCE = 0.7;
/** Time until entries follow a change of the share. */
const REACTION_TIME: Milliseconds = 1500;
/**
 * Parts of the duration before which a canary isn't widened, as faults may show
 * only after a while, and from which the rollout ends as it stands.
 */
const MIN_CANARY_PART = 0.4;
const DECISION_PART = 0.92;
/** Part of the duration from which a good canary isn't widened in two steps. */
const HURRY_PART = 0.65;
/** Time for which a wider share is observed before all requests follow. */
const MIN_WIDENED_TIME: Milliseconds = 800;
const MIN_FULL_TIME: Milliseconds = 1200;
/** Slots of the new version that must be ready, as a share of the others'. */
const REQUIRED_SLOT_SHARE = 0.6;

/**
 * Decides the next step of a rollout in progress; undefined if it goes on as it
 * is. A version that isn't known to be good when the time is up is reverted, as
 * completing would stop the old upstreams.
 *
 * @public
 */
export function planRollout(
  rollout: Rollout,
  options: { progress: RolloutProgress; limits: RolloutLimits },
): RolloutStep | undefined {
  const { progress } = options;
  const { verdict, elapsed } = progress;
  if (verdict.state === "bad") {
    return revert(verdict.reason);
  }
  if (elapsed >= rollout.duration * DECISION_PART) {
    return rollout.stage === RolloutStage.full && verdict.state === "good"
      ? complete("the time is up and the version is good")
      : revert(`the time is up: ${verdict.reason}`);
  }
  switch (rollout.stage) {
    case RolloutStage.canary:
      return planCanary(rollout, options);
    case RolloutStage.widened:
      return canProceed(progress, MIN_WIDENED_TIME)
        ? { stage: RolloutStage.full, share: 1, reason: verdict.reason }
        : undefined;
    case RolloutStage.full:
      return canProceed(progress, MIN_FULL_TIME) && progress.isDrained
        ? complete("the other versions have finished their requests")
        : undefined;
    default:
      return undefined;
  }
}

function planCanary(
  rollout: Rollout,
  { progress, limits }: { progress: RolloutProgress; limits: RolloutLimits },
): RolloutStep | undefined {
  const minTime = rollout.duration * MIN_CANARY_PART;
  if (progress.elapsed >= minTime && canProceed(progress, 0)) {
    const { reason } = progress.verdict;
    return progress.elapsed >= rollout.duration * HURRY_PART
      ? { stage: RolloutStage.full, share: 1, reason }
      : { stage: RolloutStage.widened, share: WIDENED_SHARE, reason };
  }
  const share = canaryShare(progress, limits);
  return share === rollout.share
    ? undefined
    : { stage: RolloutStage.canary, share, reason: "exposure" };
}

/** The largest share that can't exceed the exposure before the next change. */
function canaryShare(
  { exposed, sent, elapsed }: RolloutProgress,
  { exposureShare, exposureTolerance }: RolloutLimits,
): number {
  const allowed = sent * exposureShare * USED_EXPOSURE_SHARE +
    exposureTolerance * USED_EXPOSURE_TOLERANCE;
  const arriving = sent * REACTION_TIME / Math.max(elapsed, REACTION_TIME);
  if (exposed + arriving * CANARY_SHARE <= allowed) {
    return CANARY_SHARE;
  }
  return exposed + arriving * HELD_SHARE <= allowed
    ? Math.min(HELD_SHARE, exposureShare)
    : 0;
}

function canProceed(
  { verdict, stageElapsed, destinationSlots, otherSlots }: RolloutProgress,
  minTime: Milliseconds,
): boolean {
  return verdict.state === "good" && stageElapsed >= minTime &&
    destinationSlots >= otherSlots * REQUIRED_SLOT_SHARE;
}

function revert(reason: string): RolloutStep {
  return { stage: RolloutStage.reverted, share: 0, reason };
}

function complete(reason: string): RolloutStep {
  return { stage: RolloutStage.completed, share: 1, reason };
}
