import type { Clock } from "@heroncleat/base";
import type { ChargeNotice } from "@heroncleat/schema";
import { IsolatedQuota, type WorkspaceQuota } from "@heroncleat/serving";
import type { EntryNews } from "./entry_news.ts";

/** Source of charges that entries tell each other directly. */
const DIRECT_NEWS = "entries";

/** What the news are built from. */
type NewsOptions = {
  /** Name of this entry. */
  readonly entry: string;
  /** Identifier of this process. */
  readonly boot: string;
  readonly quota: WorkspaceQuota;
  readonly news: EntryNews;
  readonly clock: Clock;
  /** Whether a control replica answers. */
  readonly isConnected: () => boolean;
  /** Whether callers may be sent here. */
  readonly isOpen: () => boolean;
  /** Entries that share the quotas. */
  readonly countEntries: () => number;
};

/**
 * What entries tell each other of their charges while no control replica
 * passes it on.
 */
export class ChargeNews {
  readonly #options: NewsOptions;
  readonly #isolated = new IsolatedQuota();

  constructor(options: NewsOptions) {
    this.#options = options;
  }

  hear(notice: ChargeNotice, from: string): void {
    const { clock, isConnected, news } = this.#options;
    this.#isolated.hear(notice, clock.steady());
    // One that is isolated itself tells everyone anyway.
    if (notice.wantsAnswer && isConnected()) {
      news.answer(this.#describe(), from);
    }
  }

  /** Tells the others, and takes in what they told, while isolated. */
  share(): void {
    const { quota, news, clock, isConnected, countEntries } = this.#options;
    if (isConnected()) {
      return;
    }
    news.tell(this.#describe());
    const learnt = this.#isolated.learnt(countEntries(), clock.steady());
    quota.learnOthers(DIRECT_NEWS, learnt);
  }

  /** Whether another entry is in reach and takes callers. */
  reaches(entry: string): boolean {
    return this.#isolated.isOpen(entry, this.#options.clock.steady());
  }

  #describe(): ChargeNotice {
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
