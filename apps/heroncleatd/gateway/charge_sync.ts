import type { Clock } from "@heroncleat/base";
import type { ChargeNotice } from "@heroncleat/schema";
import {
  ChargeRelay,
  IsolatedQuota,
  type SyncReply,
  type SyncRequest,
  type WorkspaceQuota,
} from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";

/** Source of charges that entries send each other directly. */
const DIRECT_SOURCE = "entries";

/** What it is built from. */
type ChargeSyncOptions = {
  /** Name of this entry. */
  readonly entry: string;
  /** Identifier of this process. */
  readonly boot: string;
  readonly quota: WorkspaceQuota;
  /** Reports all other entries by datagram. */
  readonly broadcast: (notice: ChargeNotice) => void;
  /** Answers the entry on one host. */
  readonly reply: (notice: ChargeNotice, host: string) => void;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether a control replica answers. */
  readonly isConnected: () => boolean;
  /** Whether callers may be sent here. */
  readonly isOpen: () => boolean;
  /** Entries that share the quotas. */
  readonly countEntries: () => number;
};

/**
 * What this entry and the others send each other of their charges: by way of
 * the control replicas, and directly while none passes them on.
 */
export class ChargeSync {
  readonly #options: ChargeSyncOptions;
  readonly #isolatedQuota = new IsolatedQuota();
  readonly #relay: ChargeRelay;
  /** Part of the quotas that was handed out last. */
  #quotaShare = 1;

  constructor(options: ChargeSyncOptions) {
    this.#options = options;
    this.#relay = new ChargeRelay(options.entry);
  }

  /** What a control replica is sent of others with each exchange. */
  buildRelayFields(
    feed: string,
  ): Pick<SyncRequest, "relayedCharges" | "wantedCharges"> {
    const { clock } = this.#options;
    return {
      relayedCharges: this.#relay.passOnTo(feed, clock.steady()),
      wantedCharges: this.#relay.wantedFrom(feed),
    };
  }

  /** Takes in what a control replica reports. */
  applyReply(reply: SyncReply): void {
    const { quota, clock, countEntries } = this.#options;
    const now = clock.steady();
    const { feed, spentByOthers, shared, unheard, charges, entries } = reply;
    this.#relay.noteReply(feed, {
      unheard: unheard ?? [],
      listed: entries?.map(({ name }) => name),
      charges: charges ?? {},
    }, now);
    if (shared === undefined) {
      quota.learnBeside(feed, spentByOthers, now);
      return;
    }
    this.#recordShare(shared.quotaShare);
    quota.learnOthers(feed, {
      spent: spentByOthers,
      share: shared.quotaShare,
      entries: countEntries(),
      now,
    });
  }

  /** Goes on alone: no control replica answers any more. */
  isolate(): void {
    const { quota, clock, countEntries } = this.#options;
    const share = 1 / countEntries();
    this.#recordShare(share);
    quota.isolate(share, clock.steady());
  }

  /** Takes in what another entry reports directly. */
  receive(notice: ChargeNotice, from: string): void {
    const { clock, isConnected, reply } = this.#options;
    const now = clock.steady();
    const { entry, boot, spent } = notice;
    this.#isolatedQuota.receive(notice, now);
    this.#relay.receive(entry, { boot, spent }, now);
    // One that is isolated itself sends to everyone anyway.
    if (notice.wantsAnswer && isConnected()) {
      reply(this.#createNotice(), from);
    }
  }

  /** Sends own charges to the others, and takes in theirs, while isolated. */
  exchangeDirectly(): void {
    const { quota, broadcast, clock, isConnected, countEntries } =
      this.#options;
    if (isConnected()) {
      return;
    }
    broadcast(this.#createNotice());
    const peerCharges = this.#isolatedQuota.learnt(
      countEntries(),
      clock.steady(),
    );
    this.#recordShare(peerCharges.share);
    quota.learnOthers(DIRECT_SOURCE, peerCharges);
  }

  /** Whether another entry is in reach and takes callers. */
  isReachable(entry: string): boolean {
    return this.#isolatedQuota.isOpen(entry, this.#options.clock.steady());
  }

  /** Says how much of the quotas this entry takes to be handed out. */
  #recordShare(share: number): void {
    const { metrics, log, countEntries } = this.#options;
    metrics.gauge("quota.share", share);
    if (share !== this.#quotaShare) {
      this.#quotaShare = share;
      log.info("Hands out a part of the quotas", {
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
