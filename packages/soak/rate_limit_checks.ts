import type { Milliseconds } from "@heroncleat/base";
import type { ReceivedRequest } from "./received_request.ts";

/** Time within which all entries must know a limit. */
const PROPAGATION_TIME: Milliseconds = 3000;
/** Time after which an entry must act on a response that states a limit. */
const REACTION_TIME: Milliseconds = 500;
/** Length of the windows in which requests are counted. */
const WINDOW: Milliseconds = 4000;
/** What a window may hold: this multiple of the limit, and some requests. */
const TOLERATED_FACTOR = 1.5;
const TOLERATED_REQUESTS = 5;
const SECOND: Milliseconds = 1000;

/** The limit that an upstream states at present. */
type StatedLimit = {
  readonly rate: number;
  firstStatedAt: Milliseconds;
  /** When each entry first got a response that states it, by host. */
  readonly statedTo: Map<string, Milliseconds>;
  /** Requests of the last window. */
  received: Milliseconds[];
  isReported: boolean;
};

type Environment = {
  /** Whether the entry on a host was undisturbed at a time. */
  readonly wasEntryUndisturbed: (host: string, at: Milliseconds) => boolean;
  readonly report: (text: string) => void;
};

/**
 * Checks that upstreams get no more requests than the rate limits they state,
 * all entries together.
 */
export class RateLimitChecks {
  readonly #environment: Environment;
  readonly #limits = new Map<string, StatedLimit>();

  constructor(environment: Environment) {
    this.#environment = environment;
  }

  /** Records that an upstream begins to state a limit. */
  begin(upstream: string, rate: number): void {
    this.#limits.set(upstream, {
      rate,
      firstStatedAt: Infinity,
      statedTo: new Map(),
      received: [],
      isReported: false,
    });
  }

  /** Records that an upstream no longer states a limit. */
  end(upstream: string): void {
    this.#limits.delete(upstream);
  }

  /** Records a response that states the limit. */
  recordStated(upstream: string, to: string): void {
    const limit = this.#limits.get(upstream);
    if (limit !== undefined) {
      const now = performance.now();
      limit.firstStatedAt = Math.min(limit.firstStatedAt, now);
      limit.statedTo.set(to, limit.statedTo.get(to) ?? now);
    }
  }

  /** Checks the window that ends with a request. */
  checkReceived({ upstream, from, at }: ReceivedRequest): void {
    const limit = this.#limits.get(upstream);
    const statedAt = limit?.statedTo.get(from);
    if (
      limit === undefined || statedAt === undefined ||
      at < limit.firstStatedAt + PROPAGATION_TIME ||
      at < statedAt + REACTION_TIME ||
      !this.#environment.wasEntryUndisturbed(from, at)
    ) {
      return;
    }
    limit.received = [...limit.received, at].filter((earlier) =>
      earlier > at - WINDOW
    );
    const tolerated = TOLERATED_FACTOR * limit.rate * WINDOW / SECOND +
      TOLERATED_REQUESTS;
    if (limit.received.length > tolerated && !limit.isReported) {
      limit.isReported = true;
      this.#environment.report(
        `${upstream} received ${limit.received.length} requests in 4 s; it ` +
          `states a limit of ${limit.rate} a second, so ${tolerated} are ` +
          "tolerated",
      );
    }
  }
}
