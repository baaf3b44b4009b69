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
type SharingOptions = {
  /** Name of this entry. */
  readonly entry: string;
  /** Identifier of this process. */
  readonly boot: string;
  readonly quota: WorkspaceQuota;
  /** Reports all other entries by datagram. */
  readonly broadcast: (notice: ChargeNotice) => void;
  /** Answers the entry on one host. */
  readonly answer: (notice: ChargeNotice, host: string) => void;
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
export class ChargeSharing {
  readonly #options: SharingOptions;
  readonly #isolated = new IsolatedQuota();
  readonly #relay: ChargeRelay;
  /** Part of the quotas that was handed out last. */
  #share = 1;

  constructor(options: SharingOptions) {
    this.#options = options;
    this.#relay = new ChargeRelay(options.entry);
  }

  /** What a control replica is sent of others with each exchange. */
  describe(
    feed: string,
  ): Pick<SyncRequest, "relayedCharges" | "wantedCharges"> {
    const { clock } = this.#options;
    return {
      relayedCharges: this.#relay.chargesToRelay(feed, clock.steady()),
      wantedCharges: this.#relay.entriesToRequest(feed),
    };
  }

  /** Takes in what a control replica reports. */
  learn(reply: SyncReply): void {
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
    this.#noteShare(shared.quotaShare);
    quota.applyCharges(feed, {
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
    this.#noteShare(share);
    quota.isolate(share, clock.steady());
  }

  /** Takes in what another entry reports directly. */
  receive(notice: ChargeNotice, from: string): void {
    const { clock, isConnected, answer } = this.#options;
    const now = clock.steady();
    const { entry, boot, spent } = notice;
    this.#isolated.receive(notice, now);
    this.#relay.record(entry, { boot, spent }, now);
    // One that is isolated itself sends to everyone anyway.
    if (notice.wantsAnswer && isConnected()) {
      answer(this.#describeSelf(), from);
    }
  }

  /** Sends own charges to the others, and takes in theirs, while isolated. */
  share(): void {
    const { quota, broadcast, clock, isConnected, countEntries } =
      this.#options;
    if (isConnected()) {
      return;
    }
    broadcast(this.#describeSelf());
    const learnt = this.#isolated.quotaUpdate(countEntries(), clock.steady());
    this.#noteShare(learnt.share);
    quota.applyCharges(DIRECT_SOURCE, learnt);
  }

  /** Whether another entry is in reach and takes callers. */
  reaches(entry: string): boolean {
    return this.#isolated.isOpen(entry, this.#options.clock.steady());
  }

  /** Says how much of the quotas this entry takes to be handed out. */
  #noteShare(share: number): void {
    const { metrics, log, countEntries } = this.#options;
    metrics.gauge("quota.share", share);
    if (share !== this.#share) {
      this.#share = share;
      log.info("Hands out a part of the quotas", {
        part: share.toFixed(2),
        entries: countEntries(),
      });
    }
  }

  #describeSelf(): ChargeNotice {
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
