import type { Milliseconds } from "@heroncleat/base";

/** Time after a rejection in which requests may still be on their way. */
const REACTION_TIME: Milliseconds = 500;
/** Requests of one entry that an upstream may get during a rest. */
const MAX_REQUESTS = 2;

/** An entry and an upstream that it sends to. */
type Pair = { readonly upstream: string; readonly entry: string };

type ObservedRest = {
  readonly from: Milliseconds;
  readonly until: Milliseconds;
  received: number;
};

/**
 * Counts, as upstreams see it, the requests of entries that they had asked for
 * rest.
 *
 * @internal
 */
export class RestObservations {
  readonly #rests = new Map<string, ObservedRest[]>();

  /** Records that an upstream rejected a request and asked for rest. */
  recordRest(
    pair: Pair,
    { at, duration }: { at: Milliseconds; duration: Milliseconds },
  ): void {
    const key = keyOf(pair);
    const rests = this.#rests.get(key) ?? [];
    this.#rests.set(key, rests);
    rests.push({ from: at + REACTION_TIME, until: at + duration, received: 0 });
  }

  /**
   * Records that a request reached an upstream.
   *
   * @returns Whether it is one too many in a rest.
   */
  recordReceived(pair: Pair, at: Milliseconds): boolean {
    let isOneTooMany = false;
    for (const rest of this.#rests.get(keyOf(pair)) ?? []) {
      if (at > rest.from && at < rest.until) {
        rest.received += 1;
        isOneTooMany ||= rest.received === MAX_REQUESTS + 1;
      }
    }
    return isOneTooMany;
  }

  /** The rests, those in which too many arrived, and the most in one. */
  summarize(): { rests: number; broken: number; most: number } {
    const received = [...this.#rests.values()].flat()
      .map((rest) => rest.received);
    return {
      rests: received.length,
      broken: received.filter((count) => count > MAX_REQUESTS).length,
      most: received.reduce((most, count) => Math.max(most, count), 0),
    };
  }
}

function keyOf({ upstream, entry }: Pair): string {
  return `${upstream} ${entry}`;
}
