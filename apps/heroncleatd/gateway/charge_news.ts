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

/** Source of charges that entries tell each other directly. */
const DIRECT_NEWS = "entries";

/** What the news are built from. */
type NewsOptions = {
  /** Name of this entry. */
  readonly entry: string;
  /** Identifier of this process. */
  readonly boot: string;
  readonly quota: WorkspaceQuota;
  /** Tells all other entries by datagram. */
  readonly tell: (notice: ChargeNotice) => void;
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
 * What this entry and the others tell each other of their charges: by way of
 * the control replicas, and directly while none passes them on.
 */
export class ChargeNews {
  readonly #options: NewsOptions;
  readonly #isolated = new IsolatedQuota();
  readonly #relay: ChargeRelay;
  /** Part of the quotas that was handed out last. */
  #share = 1;

  constructor(options: NewsOptions) {
    this.#options = options;
    this.#relay = new ChargeRelay(options.entry);
  }

  /** What a control replica is told of others with each exchange. */
  describe(
    feed: string,
  ): Pick<SyncRequest, "relayedCharges" | "wantedCharges"> {
    const { clock } = this.#options;
    return {
      relayedCharges: this.#relay.passOnTo(feed, clock.steady()),
      wantedCharges: this.#relay.wantedFrom(feed),
    };
  }

  /** Takes in what a control replica tells. */
  learn(reply: SyncReply): void {
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
    this.#noteShare(shared.quotaShare);
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
    this.#noteShare(share);
    quota.isolate(share, clock.steady());
  }

  /** Takes in what another entry tells directly. */
  hear(notice: ChargeNotice, from: string): void {
    const { clock, isConnected, answer } = this.#options;
    const now = clock.steady();
    const { entry, boot, spent } = notice;
    this.#isolated.hear(notice, now);
    this.#relay.hear(entry, { boot, spent }, now);
    // One that is isolated itself tells everyone anyway.
    if (notice.wantsAnswer && isConnected()) {
      answer(this.#describeSelf(), from);
    }
  }

  /** Tells the others, and takes in what they told, while isolated. */
  share(): void {
    const { quota, tell, clock, isConnected, countEntries } = this.#options;
    if (isConnected()) {
      return;
    }
    tell(this.#describeSelf());
    const learnt = this.#isolated.learnt(countEntries(), clock.steady());
    this.#noteShare(learnt.share);
    quota.learnOthers(DIRECT_NEWS, learnt);
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
