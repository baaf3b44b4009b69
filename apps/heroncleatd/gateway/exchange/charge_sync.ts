import { type Clock, RateLimiter } from "@heroncleat/base";
import type { ChargeNotice } from "@heroncleat/schema";
import {
  ChargeRelay,
  IsolatedQuota,
  type RouteTable,
  type SyncReply,
  type SyncRequest,
  type WorkspaceQuota,
} from "@heroncleat/serving";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";

/**
 * Source under which charges that other entries report directly are recorded.
 */
const DIRECT_SOURCE = "entries";

/** Limit of lines about charges to unknown workspaces. */
const LINES_PER_SECOND = 1 / 60;
const LINE_BURST = 1;

type ChargeSyncOptions = {
  /** Name of this entry. */
  readonly entry: string;
  /** Identifier of this process incarnation. */
  readonly boot: string;
  readonly quota: WorkspaceQuota;
  /** Sends a notice to all other entries by datagram. */
  readonly broadcast: (notice: ChargeNotice) => void;
  /** Sends a notice to the entry on one host. */
  readonly reply: (notice: ChargeNotice, host: string) => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether a control replica is reachable. */
  readonly isConnected: () => boolean;
  /** Whether this entry accepts callers. */
  readonly isOpen: () => boolean;
  /** Number of entries that share the quotas. */
  readonly countEntries: () => number;
  /** The routes and workspaces in effect; undefined before the first ones. */
  readonly routeTable: () => Pick<RouteTable, "isQuotaBucket"> | undefined;
};

/**
 * Exchanges quota charges with the other entries: through the control replicas,
 * and directly by datagram while no replica is reachable.
 */
export class ChargeSync {
  readonly #options: ChargeSyncOptions;
  readonly #isolatedQuota = new IsolatedQuota();
  readonly #relay: ChargeRelay;
  readonly #lineLimiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST);
  /** Share of the quotas that was last in effect. */
  #quotaShare = 1;

  constructor(options: ChargeSyncOptions) {
    this.#options = options;
    this.#relay = new ChargeRelay(options.entry);
  }

  /**
   * Returns the fields of a sync request that relay other entries' charges to a
   * control replica.
   */
  buildRelayFields(
    feed: string,
  ): Pick<SyncRequest, "relayedCharges" | "wantedCharges"> {
    const { clock } = this.#options;
    return {
      relayedCharges: this.#relay.chargesToRelay(feed, clock.steady()),
      wantedCharges: this.#relay.entriesToRequest(feed),
    };
  }

  /** Merges the charges in a control replica's reply into the quotas. */
  applyReply(reply: SyncReply): void {
    const { quota, clock, countEntries } = this.#options;
    const now = clock.steady();
    const { feed, spentByOthers, shared, unheard, charges, entries } = reply;
    this.#relay.handleReply(feed, {
      unheard: unheard ?? [],
      listed: entries?.map(({ name }) => name),
      charges: charges ?? {},
    }, now);
    if (shared === undefined) {
      quota.applySecondaryCharges(feed, spentByOthers, now);
      return;
    }
    this.#recordShare(shared.quotaShare);
    quota.applyCharges(feed, {
      spent: spentByOthers,
      share: shared.quotaShare,
      entries: countEntries(),
      now,
    });
  }

  /**
   * Limits this entry to an even share of the quotas, since no control replica
   * is reachable.
   */
  isolate(): void {
    const { quota, clock, countEntries } = this.#options;
    const share = 1 / countEntries();
    this.#recordShare(share);
    quota.isolate(share, clock.steady());
  }

  /**
   * Merges charges that another entry reported directly. Anybody may send such
   * a report, so that only charges to known workspaces are kept. Charges are
   * totals: those to workspaces that become known later come again.
   */
  receive(notice: ChargeNotice, from: string): void {
    const { clock, isConnected, reply } = this.#options;
    const now = clock.steady();
    const { entry, boot } = notice;
    const spent = this.#selectKnown(notice, from);
    this.#isolatedQuota.receive({ ...notice, spent }, now);
    if (spent !== undefined) {
      this.#relay.record(entry, { boot, spent }, now);
    }
    // An entry that is isolated itself broadcasts its charges anyway.
    if (notice.wantsAnswer && isConnected()) {
      reply(this.#createNotice(), from);
    }
  }

  /**
   * Broadcasts own charges and merges those received from other entries. Does
   * nothing while a control replica is reachable.
   */
  exchangeDirectly(): void {
    const { quota, broadcast, clock, isConnected, countEntries } =
      this.#options;
    if (isConnected()) {
      return;
    }
    broadcast(this.#createNotice());
    const peerCharges = this.#isolatedQuota.quotaUpdate(
      countEntries(),
      clock.steady(),
    );
    this.#recordShare(peerCharges.share);
    quota.applyCharges(DIRECT_SOURCE, peerCharges);
  }

  /** Whether another entry is reachable by datagram and accepts callers. */
  isReachable(entry: string): boolean {
    return this.#isolatedQuota.isOpen(entry, this.#options.clock.steady());
  }

  /** Charges to known workspaces; undefined before the first ones are known. */
  #selectKnown(
    { spent }: ChargeNotice,
    from: string,
  ): Record<string, number> | undefined {
    const { routeTable, metrics, log, clock } = this.#options;
    const workspaces = routeTable();
    if (workspaces === undefined) {
      return undefined;
    }
    const charges = Object.entries(spent);
    const known = charges.filter(([bucket]) =>
      workspaces.isQuotaBucket(bucket)
    );
    const unknown = charges.length - known.length;
    if (unknown > 0) {
      metrics.increment("quota.unknown_buckets", unknown);
      if (this.#lineLimiter.tryConsume(clock.steady())) {
        log.info("Another entry reports charges to unknown workspaces", {
          from,
          unknown,
        });
      }
    }
    return Object.fromEntries(known);
  }

  /** Records the share of the quotas in effect, and logs a change. */
  #recordShare(share: number): void {
    const { metrics, log, countEntries } = this.#options;
    metrics.gauge("quota.share", share);
    if (share !== this.#quotaShare) {
      this.#quotaShare = share;
      log.info("The share of the quotas in effect has changed", {
        part: share.toFixed(2),
        entries: countEntries(),
      });
    }
  }

  #createNotice(): ChargeNotice {
    const { entry, boot, quota, isOpen, isConnected } = this.#options;
    return {
      kind: "charges",
      entry,
      boot,
      spent: quota.spent(),
      isOpen: isOpen(),
      wantsAnswer: !isConnected(),
    };
  }
}
