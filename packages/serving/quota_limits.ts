import type { Milliseconds } from "@heroncleat/base";
import type { QuotaLimit } from "./quota_limit.ts";
import type { QuotaSettings } from "./quota_settings.ts";
import type { Workspace } from "./workspace.ts";

/**
 * Share of the tolerated excess that requests may be charged to. The rest
 * covers what entries spend before they receive each other's charges.
 */
const USABLE_EXCESS_SHARE = 0.3;
const SECOND: Milliseconds = 1000;
const EXCESS_SUFFIX = " excess";

/** Length of the quota window and its tolerated excess. */
type WindowSettings = Pick<QuotaSettings, "window" | "overshoot" | "tolerance">;

/**
 * The two limits of a workspace: its quota, and the usable part of the
 * tolerated excess.
 *
 * @internal
 */
export const quotaLimits = {
  quota(workspace: Workspace, windowSettings: WindowSettings): QuotaLimit {
    return {
      name: workspace.name,
      tokens: windowQuota(workspace, windowSettings),
      burst: workspace.burst,
      rate: workspace.rate,
      toleratedExcess: toleratedExcessOf(workspace, windowSettings),
    };
  },

  /**
   * @param windowSettings.share Share that this side of a partition may use.
   */
  excess(
    workspace: Workspace,
    windowSettings: WindowSettings & { readonly share: number },
  ): QuotaLimit {
    const tokens = USABLE_EXCESS_SHARE *
      toleratedExcessOf(workspace, windowSettings);
    return {
      name: quotaLimits.excessName(workspace.name),
      tokens,
      burst: tokens * windowSettings.share,
      rate: tokens * SECOND / windowSettings.window,
      toleratedExcess: 0,
    };
  },

  /** Name of the bucket for charges of a workspace beyond its quota. */
  excessName(workspace: string): string {
    return `${workspace}${EXCESS_SUFFIX}`;
  },
};

/** Tokens by which a window may exceed the quota. */
function toleratedExcessOf(
  workspace: Workspace,
  windowSettings: WindowSettings,
): number {
  const tokenTolerance = workspace.countsTokens ? windowSettings.tolerance : 0;
  return windowSettings.overshoot * windowQuota(workspace, windowSettings) +
    tokenTolerance;
}

/** Tokens that a workspace may spend in a window. */
function windowQuota(workspace: Workspace, { window }: WindowSettings): number {
  return workspace.rate * window / SECOND + workspace.burst;
}
