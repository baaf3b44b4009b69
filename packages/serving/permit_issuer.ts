import type { Milliseconds } from "@heroncleat/base";
import { effectiveRate } from "./effective_rate.ts";
import { hashToUnit } from "./hash_to_unit.ts";
import type { Issuance } from "./issuance.ts";

const SECOND: Milliseconds = 1000;
/**
 * Time whose permits may be issued at once. Without it, the moments in which no
 * request waits would be lost.
 */
const BURST_TIME: Milliseconds = 250;

/** Permits that are issued in advance to classes that lack theirs. */
const MAX_OVERDRAFT = 1;

/**
 * Time after the first report to a replica within which entries ask it for what
 * the primary before denied them.
 */
const MAX_BACKDATING: Milliseconds = 5000;

/** Permits of one upstream. */
type Budget = {
  permits: number;
  /** Share of the limit that accrues since the last refill, 0 to 1. */
  share: number;
  refilledAt: Milliseconds;
};

type IssuerOptions = {
  /** Requests per second that an upstream accepts; undefined without a limit. */
  readonly rateOf: (upstream: string) => number | undefined;
};

/**
 * Issues permits for requests to upstreams that state a rate limit, one token
 * bucket each. As all permits come from one replica at a time, no two entries
 * use the same part of a limit.
 *
 * @internal
 */
export class PermitIssuer {
  readonly #options: IssuerOptions;
  readonly #budgets = new Map<string, Budget>();
  #issuingSince: Milliseconds = -Infinity;

  constructor(options: IssuerOptions) {
    this.#options = options;
  }

  /** Drops all permits, as another replica issued them until now. */
  restart(now: Milliseconds): void {
    this.#budgets.clear();
    this.#issuingSince = now;
  }

  /**
   * Issues a permit for the first upstream that accepts another request.
   *
   * @param options.mayOverdraw Whether to issue the next permit in advance.
   * @returns ID of that upstream; undefined if none accepts one.
   */
  issue(
    upstreams: readonly string[],
    options: Issuance & { readonly mayOverdraw: boolean },
  ): string | undefined {
    const { mayOverdraw } = options;
    const required = mayOverdraw ? 1 - MAX_OVERDRAFT : 1;
    for (const upstream of upstreams) {
      const rate = this.#options.rateOf(upstream);
      if (rate === undefined) {
        return upstream;
      }
      const budget = this.#refill(upstream, rate, options);
      if (budget.permits >= required) {
        budget.permits -= 1;
        return upstream;
      }
    }
    return undefined;
  }

  /** Time until an upstream accepts another request, as of the last refill. */
  availableIn(
    upstream: string,
    { share, mayOverdraw }: { share: number; mayOverdraw: boolean },
  ): Milliseconds {
    const required = mayOverdraw ? 1 - MAX_OVERDRAFT : 1;
    const rate = this.#options.rateOf(upstream);
    const permits = this.#budgets.get(upstream)?.permits ?? 0;
    return rate === undefined || permits >= required
      ? 0
      : (required - permits) * SECOND / (effectiveRate(rate) * share);
  }

  /** Removes the budgets of upstreams that match. */
  removeWhere(isGone: (upstream: string) => boolean): void {
    for (const upstream of this.#budgets.keys()) {
      if (isGone(upstream)) {
        this.#budgets.delete(upstream);
      }
    }
  }

  /**
   * Adds what has accrued. Entries bring and take their share of the accruing
   * permit when the primary changes, so that no permit is lost or issued twice.
   */
  #refill(
    upstream: string,
    rate: number,
    { share, now, wall }: Issuance,
  ): Budget {
    const budget = this.#budgets.get(upstream) ??
      this.#createBudget(upstream, rate, { share, now, wall });
    const perMillisecond = effectiveRate(rate) * budget.share / SECOND;
    const burst = Math.max(1, effectiveRate(rate) * BURST_TIME / SECOND);
    const moved = (share - budget.share) * phaseOf(upstream, rate, wall);
    const accrued = (now - budget.refilledAt) * perMillisecond;
    budget.permits = Math.min(burst, budget.permits + accrued + moved);
    budget.share = share;
    budget.refilledAt = now;
    this.#budgets.set(upstream, budget);
    return budget;
  }

  /** The budget of an upstream that accrues since this replica issues. */
  #createBudget(
    upstream: string,
    rate: number,
    { share, now, wall }: Issuance,
  ): Budget {
    const age = now - this.#issuingSince;
    const refilledAt = age <= MAX_BACKDATING ? this.#issuingSince : now;
    const phase = phaseOf(upstream, rate, wall - (now - refilledAt));
    return { permits: share * phase, share, refilledAt };
  }
}

/** Share of the time between two permits that has passed, 0 up to 1. */
function phaseOf(upstream: string, rate: number, wall: Milliseconds): number {
  const issued = wall * effectiveRate(rate) / SECOND;
  return (issued + hashToUnit.of("", upstream)) % 1;
}
