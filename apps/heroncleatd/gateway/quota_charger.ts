import type { Clock } from "@heroncleat/base";
import type { Workspace, WorkspaceQuota } from "@heroncleat/serving";

/** What charging is built from. */
type QuotaChargerOptions = {
  readonly quota: WorkspaceQuota;
  readonly clock: Clock;
  /** Exchanges with the primary now; resolves soon, whatever comes of it. */
  readonly refresh: () => Promise<void>;
  /** Reports to the primary soon, without a wait. */
  readonly report: () => void;
};

/**
 * Charges requests to the quotas of their workspaces.
 *
 * Many entries exchange with the control replicas at long intervals, in which
 * all of them could spend a whole bucket many times over. There, a request
 * that the bucket might not cover waits for one exchange, some 5 ms, and what
 * it is charged is reported at once. With 200 entries, a workspace that asks
 * for six times its rate got 2.0 times what is tolerated beyond its quota
 * without that.
 */
export class QuotaCharger {
  readonly #options: QuotaChargerOptions;

  constructor(options: QuotaChargerOptions) {
    this.#options = options;
  }

  /** Charges a request, or says how long until it could be charged. */
  async charge(
    workspace: Workspace,
    amount: number,
  ): Promise<ReturnType<WorkspaceQuota["charge"]>> {
    const { quota, clock, refresh, report } = this.#options;
    if (quota.isOutdated(workspace, { amount, now: clock.steady() })) {
      await refresh();
    }
    const charged = quota.charge(workspace, { amount, now: clock.steady() });
    if (charged.ok && quota.isReportDue(charged.charge)) {
      report();
    }
    return charged;
  }
}
