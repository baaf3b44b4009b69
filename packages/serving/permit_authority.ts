import { createRecord, type Milliseconds } from "@heroncleat/base";
import type { Issuance } from "./issuance.ts";
import { PermitClaim } from "./permit_claim.ts";
import { PermitIssuer } from "./permit_issuer.ts";
import type { PermitOutcome } from "./permit_outcome.ts";
import type { PermitReply } from "./permit_reply.ts";
import type { PermitRequest } from "./permit_request.ts";
import { PermitShares } from "./permit_shares.ts";
import type { RateLimit } from "./rate_limit.ts";
import type { RateLimitRegistry } from "./rate_limit_registry.ts";
import type { RateLimitView } from "./rate_limit_view.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { WantedPermit } from "./wanted_permit.ts";

/** Time for which an entry doesn't ask again where a class yields to others. */
const YIELD_PAUSE: Milliseconds = 50;

/** What the entries of this replica may use, now and soon. */
type OngoingIssuance = Issuance & {
  /** The share once all entries that take permits here have reported. */
  readonly expectedShare: number;
};

type AuthorityOptions = {
  readonly limits: RateLimitRegistry;
  readonly findRecord: (upstream: string) => UpstreamRecord | undefined;
};

/**
 * Decides at the primary which waiting requests get permits: by what the
 * upstreams accept, and by what the classes of requests have had.
 *
 * @internal
 */
export class PermitAuthority {
  readonly #options: AuthorityOptions;
  readonly #issuer: PermitIssuer;
  readonly #shares = new PermitShares();
  /** Sums of the rate limits by service; undefined when outdated. */
  #totalRates: ReadonlyMap<string, number> | undefined;

  constructor(options: AuthorityOptions) {
    this.#options = options;
    this.#issuer = new PermitIssuer({
      rateOf: (upstream) => options.limits.rateOf(upstream),
    });
  }

  issue(request: PermitRequest, options: OngoingIssuance): PermitReply {
    this.#shares.recordDemand(request.demand, options.now);
    return {
      isIssuing: true,
      outcomes: request.wanted.map((wanted) => this.#decide(wanted, options)),
      limits: this.#listNewer(request.limits),
    };
  }

  /** @param share Share of all limits; undefined if no permits are issued. */
  list(share: number | undefined): RateLimitView[] {
    const { limits, findRecord } = this.#options;
    return [...limits.limited()].map((upstream) => {
      const record = findRecord(upstream);
      return {
        upstream,
        service: record?.service,
        zone: record?.zone,
        rate: limits.rateOf(upstream)!,
        availableIn: share === undefined
          ? undefined
          : this.#issuer.availableIn(upstream, { share, mayOverdraw: false }),
      };
    });
  }

  /** Begins to issue permits after a time in which another replica did. */
  restart(now: Milliseconds): void {
    this.#issuer.restart(now);
  }

  /** Takes changed limits into account. */
  refresh(): void {
    this.#totalRates = undefined;
  }

  /** Removes state of upstreams that match and of classes without requests. */
  expire(isGone: (upstream: string) => boolean, now: Milliseconds): void {
    this.#issuer.removeWhere(isGone);
    this.#shares.expire(now);
  }

  #decide(wanted: WantedPermit, issuance: OngoingIssuance): PermitOutcome {
    const { share, expectedShare, now } = issuance;
    const rate = this.#totalRateOf(wanted.service) * share;
    const claim = this.#shares.claimOf(wanted, { rate, now });
    const mayOverdraw = claim === PermitClaim.behind;
    const granted = claim === PermitClaim.yields
      ? undefined
      : this.#issuer.issue(wanted.upstreams, { ...issuance, mayOverdraw });
    if (granted !== undefined) {
      this.#shares.recordGrant(wanted, now);
    }
    const availableIn = createRecord<Milliseconds>();
    for (const denied of wanted.upstreams) {
      if (denied === granted) {
        break;
      }
      availableIn[denied] = Math.max(
        claim === PermitClaim.yields ? YIELD_PAUSE : 0,
        this.#issuer.availableIn(denied, {
          share: expectedShare,
          mayOverdraw,
        }),
      );
    }
    return { granted: granted ?? null, availableIn };
  }

  /** Limits that were stated later than an entry knows. */
  #listNewer(known: readonly RateLimit[]): RateLimit[] {
    const newer: RateLimit[] = [];
    for (const { upstream, statedAt } of known) {
      const limit = this.#options.limits.get(upstream);
      if (limit !== undefined && limit.statedAt > statedAt) {
        newer.push(limit);
      }
    }
    return newer;
  }

  /** Requests per second that the upstreams of a service accept by their limits. */
  #totalRateOf(service: string): number {
    this.#totalRates ??= this.#sumRates();
    return this.#totalRates.get(service) ?? 0;
  }

  #sumRates(): Map<string, number> {
    const { limits, findRecord } = this.#options;
    const totals = new Map<string, number>();
    for (const upstream of limits.limited()) {
      const service = findRecord(upstream)?.service ?? "";
      const rate = limits.rateOf(upstream) ?? 0;
      totals.set(service, (totals.get(service) ?? 0) + rate);
    }
    return totals;
  }
}
