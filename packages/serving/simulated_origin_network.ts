import { type Milliseconds, type Random, RateLimiter } from "@heroncleat/base";
import type { OriginReport } from "./origin_report.ts";
import type { SimulatedEntry } from "./simulated_origin_entry.ts";
import { STREAM_RETENTION } from "./stream_retention.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** As entries limit their datagrams about streams. */
const MAX_MESSAGES_PER_SECOND = 1000;
const MAX_MESSAGE_BURST = 2000;
const MESSAGE_LOSS = 0.01;
/** Time after which the versions of the whole retention are known. */
const SETTLED_AFTER: Milliseconds = STREAM_RETENTION + 10_000;

/** A message about a stream. */
type Message = {
  /** Name of the entry that it is for. */
  readonly to: string;
  /** Share of the sender's burst that is left to other messages. */
  readonly reserve: number;
  readonly deliver: (to: SimulatedEntry) => void;
};

type NetworkOptions = {
  readonly time: VirtualTime;
  readonly random: Random;
  readonly report: OriginReport;
  readonly entries: readonly SimulatedEntry[];
  readonly messageLoss: number | undefined;
};

/**
 * The datagrams between simulated entries: limited, delayed and lost.
 *
 * @internal
 */
export class SimulatedOriginNetwork {
  readonly #options: NetworkOptions;
  readonly #indexes = new Map<string, number>();
  readonly #rateLimiters = new Map<string, RateLimiter>();

  constructor(options: NetworkOptions) {
    this.#options = options;
  }

  send(from: SimulatedEntry, { to, reserve, deliver }: Message): void {
    const { time, random, report, entries, messageLoss } = this.#options;
    if (!this.#mayStillSend(from.known.name, reserve)) {
      report.overBudget += 1;
      return;
    }
    report.messages += 1;
    report.lateMessages += time.now > SETTLED_AFTER ? 1 : 0;
    if (this.#isSilent(from) || random() < (messageLoss ?? MESSAGE_LOSS)) {
      return;
    }
    time.schedule(0.5 + random() * 2, () => {
      const receiver = entries[this.#indexOf(to)];
      if (
        receiver !== undefined && receiver.isRunning &&
        !this.#isSilent(receiver)
      ) {
        deliver(receiver);
      }
    });
  }

  #mayStillSend(name: string, reserve: number): boolean {
    const limiter = this.#rateLimiters.get(name) ??
      new RateLimiter(MAX_MESSAGES_PER_SECOND, MAX_MESSAGE_BURST);
    this.#rateLimiters.set(name, limiter);
    return limiter.tryConsume(this.#options.time.now, { reserve });
  }

  #isSilent({ cutUntil, losesUntil }: SimulatedEntry): boolean {
    const { now } = this.#options.time;
    return cutUntil > now || losesUntil > now;
  }

  #indexOf(name: string): number {
    if (this.#indexes.size === 0) {
      for (const [index, { known }] of this.#options.entries.entries()) {
        this.#indexes.set(known.name, index);
      }
    }
    return this.#indexes.get(name) ?? -1;
  }
}
