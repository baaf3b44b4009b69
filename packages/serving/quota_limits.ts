import type { Milliseconds } from "@heroncleat/base";
import type { QuotaLimit } from "./quota_limit.ts";
import type { QuotaSettings } from "./quota_settings.ts";
import type { Workspace } from "./workspace.ts";

/**
 * Part of the tolerated excess that may be spent on purpose. The rest covers
 * what entries spend before they learn of each other.
 */
const EXCESS_SHARE = 0.3;
const SECOND: Milliseconds = 1000;
const EXCESS_SUFFIX = " excess";

/** What may be judged: how long a window is, and what it may hold beyond. */
type Judged = Pick<QuotaSettings, "window" | "overshoot" | "tolerance">;

/**
 * The two limits of a workspace: its quota, and what is tolerated beyond it.
 *
 * @internal
 */
export const quotaLimits = {
  quota(workspace: Workspace, judged: Judged): QuotaLimit {
    return {
      name: workspace.name,
      tokens: windowQuota(workspace, judged),
      burst: workspace.burst,
      rate: workspace.rate,
      tolerated: toleratedOf(workspace, judged),
    };
  },

  /** @param judged.share Part that this side of the system may hand out. */
  excess(
    workspace: Workspace,
    judged: Judged & { readonly share: number },
  ): QuotaLimit {
    const tokens = EXCESS_SHARE * toleratedOf(workspace, judged);
    return {
      name: quotaLimits.excessName(workspace.name),
      tokens,
      burst: tokens * judged.share,
      rate: tokens * SECOND / judged.window,
      tolerated: 0,
    };
  },

  /** The bucket of what a workspace spends beyond its quota. */
  excessName(workspace: string): string {
    return `${workspace}${EXCESS_SUFFIX}`;
  },
};

/** What a window may hold beyond the quota. */
function toleratedOf(workspace: Workspace, judged: Judged): number {
  const beside = workspace.countsTokens ? judged.tolerance : 0;
  return judged.overshoot * windowQuota(workspace, judged) + beside;
}

/** What a workspace may spend in a window. */
function windowQuota(workspace: Workspace, { window }: Judged): number {
  return workspace.rate * window / SECOND + workspace.burst;
}
