import type { Milliseconds } from "@heroncleat/base";
import { effectiveRate } from "./effective_rate.ts";
import { hashToUnit } from "./hash_to_unit.ts";

const SECOND: Milliseconds = 1000;
/** Time for which a turn may be used. */
const TURN_LIFETIME: Milliseconds = 1000;

/** An upstream with a rate limit, at one moment. */
type LimitedUpstream = {
  readonly upstream: string;
  /** Requests per second that it states. */
  readonly rate: number;
  /** Unix time, the same at all entries. */
  readonly now: Milliseconds;
  /** Unix time before which permits were issued to this entry. */
  readonly turnsSince: Milliseconds;
};

/**
 * Turns in which an entry may send to an upstream with a rate limit while no
 * replica issues permits, in the order of the entries' names. A turn that isn't
 * used in time is lost.
 *
 * @internal
 */
export class SendTurns {
  readonly #entry: string;
  #entryCount = 1;
  /** This entry's position among all, 0 to 1; undefined if it isn't listed. */
  #position: number | undefined = 0;
  /** When the last turn that was used began, by upstream. */
  readonly #usedTurns = new Map<string, Milliseconds>();

  /** @param entry Name of this entry. */
  constructor(entry: string) {
    this.#entry = entry;
  }

  /** @param count Number of entries, which may exceed those that are listed. */
  setEntries(names: readonly string[], count: number): void {
    const position = [...names].sort().indexOf(this.#entry);
    this.#entryCount = Math.max(1, names.length, count);
    this.#position = position === -1 ? undefined : position / names.length;
  }

  /** Whether a turn of this entry may be used now. */
  hasTurn(limited: LimitedUpstream): boolean {
    return this.#findTurn(limited) !== undefined;
  }

  /** Uses a turn; returns whether there was one. */
  use(limited: LimitedUpstream): boolean {
    const turn = this.#findTurn(limited);
    if (turn === undefined) {
      return false;
    }
    this.#usedTurns.set(limited.upstream, turn);
    return true;
  }

  /** Time until the next turn begins. */
  nextIn(
    { upstream, rate, now }: Omit<LimitedUpstream, "turnsSince">,
  ): Milliseconds {
    const period = this.#periodOf(rate);
    const offset = this.#offsetOf(upstream, period);
    const since = now - offset;
    return (Math.floor(since / period) + 1) * period - since;
  }

  removeWhere(isGone: (upstream: string) => boolean): void {
    for (const upstream of this.#usedTurns.keys()) {
      if (isGone(upstream)) {
        this.#usedTurns.delete(upstream);
      }
    }
  }

  /** When the oldest turn began that is neither used nor lost. */
  #findTurn(
    { upstream, rate, now, turnsSince }: LimitedUpstream,
  ): Milliseconds | undefined {
    const period = this.#periodOf(rate);
    const offset = this.#offsetOf(upstream, period);
    const usedTurn = this.#usedTurns.get(upstream) ?? -Infinity;
    const after = Math.max(
      now - TURN_LIFETIME,
      // What the upstream accepted until then was issued as permits.
      turnsSince,
      // Turns are a period apart; half of it leaves room for rounding.
      usedTurn + period / 2,
    );
    const turn = offset + (Math.floor((after - offset) / period) + 1) * period;
    return turn <= now ? turn : undefined;
  }

  #periodOf(rate: number): Milliseconds {
    return this.#entryCount * SECOND / effectiveRate(rate);
  }

  /** The upstreams' turns are spread, so that an entry's don't coincide. */
  #offsetOf(upstream: string, period: Milliseconds): Milliseconds {
    const position = this.#position ?? hashToUnit.of(this.#entry, upstream);
    return (position + hashToUnit.of("", upstream)) * period;
  }
}
