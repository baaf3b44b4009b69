import type { Clock } from "@heroncleat/base";
import type { Workspace, WorkspaceQuota } from "@heroncleat/serving";

type QuotaChargerOptions = {
  readonly quota: WorkspaceQuota;
  readonly clock: Clock;
  /**
   * Exchanges with the primary now. Resolves within a short time even on
   * failure.
   */
  readonly refresh: () => Promise<void>;
  /** Schedules an exchange with the primary without waiting for it. */
  readonly report: () => void;
};

/**
 * Charges requests to the quotas of their workspaces. A request that the quota
 * might not cover waits for an exchange with the control replicas, as many
 * entries could together overspend in between.
 */
export class QuotaCharger {
  readonly #options: QuotaChargerOptions;

  constructor(options: QuotaChargerOptions) {
    this.#options = options;
  }

  /** Charges a request, or returns the time until it could be charged. */
  async charge(
    workspace: Workspace,
    amount: number,
  ): Promise<ReturnType<WorkspaceQuota["charge"]>> {
    const { quota, clock, refresh, report } = this.#options;
    if (quota.isStale(workspace, { amount, now: clock.steady() })) {
      await refresh();
    }
    const result = quota.charge(workspace, { amount, now: clock.steady() });
    if (result.ok && quota.isReportDue(result.charge)) {
      report();
    }
    return result;
  }
}
