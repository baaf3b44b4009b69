import { createRecord, type Milliseconds } from "@heroncleat/base";
import type { DemandReport } from "./demand_report.ts";
import type { DemandRow } from "./demand_row.ts";
import { objectiveLimit } from "./objective_limit.ts";
import type { Offer } from "./offer.ts";
import { overloadRetryDelay } from "./overload_retry_delay.ts";
import type { RankDemand } from "./rank_demand.ts";
import type { RankLimit } from "./rank_limit.ts";
import { rankLimits } from "./rank_limits.ts";
import { RefusalReason } from "./refusal_reason.ts";
import { ServiceDemand } from "./service_demand.ts";
import type { ServiceRank } from "./service_rank.ts";
import { sheddingTimes } from "./shedding_times.ts";
import type { SheddingDecision } from "./shedding_decision.ts";

/**
 * Where the limit of requests beyond their workspace's share lies between the
 * limit of the next less urgent rank (0) and that of requests within it (1).
 */
const BEYOND_SHARE_POSITION = 0.25;
/** Maximum of that limit relative to that of requests within the share. */
const MAX_BEYOND_SHARE = 0.75;

/** An offer with what the shedder knows of its rank. */
type RankedOffer = {
  readonly offer: Offer;
  readonly service: ServiceDemand;
  readonly rank: RankDemand;
  readonly now: Milliseconds;
};

/**
 * Decides which requests to a service that is short are refused: less urgent
 * ranks before more urgent ones, and within a rank those of workspaces beyond
 * their fair share first.
 *
 * @public
 */
export class LoadShedder {
  readonly #random: () => number;
  readonly #rankLimit: RankLimit;
  readonly #services = new Map<string, ServiceDemand>();

  /**
   * @param options.random Returns a number from 0 to 1.
   * @param options.rankLimit Wait limit in favour of a more urgent rank.
   */
  constructor({ random, rankLimit = rankLimits.adaptive }: {
    readonly random: () => number;
    readonly rankLimit?: RankLimit;
  }) {
    this.#random = random;
    this.#rankLimit = rankLimit;
  }

  /** Sets the objectives by service and rank, from the configuration. */
  setRanks(ranks: readonly ServiceRank[]): void {
    const objectives = new Map<string, Map<number, Milliseconds>>();
    for (const { service, priority, objective } of ranks) {
      const byRank = objectives.get(service) ?? new Map();
      byRank.set(
        priority,
        Math.min(objective, byRank.get(priority) ?? Infinity),
      );
      objectives.set(service, byRank);
    }
    for (const [name, demand] of this.#services) {
      if (!objectives.has(name)) {
        demand.objectives = new Map();
      }
    }
    for (const [name, byRank] of objectives) {
      this.#service(name).objectives = byRank;
    }
  }

  /** Records the offer and decides about it. */
  decide(offer: Offer, now: Milliseconds): SheddingDecision {
    const service = this.#service(offer.service);
    const rank = service.rank(offer.priority);
    const workspace = rank.workspace(offer.workspace);
    const work = engineTime(offer);
    const decision = this.#judge({ offer, service, rank, now });
    // Recorded after the decision, which else counts the request as refused.
    if (!offer.isRepeated) {
      workspace.window.recordAsked(work, now);
      rank.recordPrefillTime(offer.prefillTime, now);
    }
    if (decision.kind === "refused") {
      service.recordRefusal(now);
    } else if (!offer.isRepeated) {
      workspace.window.recordAdmitted(work, now);
    }
    return decision;
  }

  /** Records when an upstream began to respond, and when it was expected to. */
  recordFirstToken(
    { service, expected, took }: {
      readonly service: string;
      readonly expected: Milliseconds;
      readonly took: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    this.#service(service).estimateErrors.record(took - expected, now);
  }

  /** Demand of this entry; undefined while nothing is short. */
  report(now: Milliseconds): DemandReport | undefined {
    const report = createRecord<readonly DemandRow[]>();
    for (const [name, demand] of this.#services) {
      const rows = demand.report(now);
      if (rows !== undefined) {
        report[name] = rows;
      }
    }
    return Object.keys(report).length > 0 ? report : undefined;
  }

  /** Replaces the sums over all entries, this one included. */
  applyTotals(totals: DemandReport, now: Milliseconds): void {
    for (const [name, demand] of this.#services) {
      if (!Object.hasOwn(totals, name)) {
        demand.dropTotals();
      }
    }
    for (const [name, rows] of Object.entries(totals)) {
      this.#service(name).applyTotals(rows, now);
    }
  }

  #service(name: string): ServiceDemand {
    let service = this.#services.get(name);
    if (service === undefined) {
      service = new ServiceDemand();
      this.#services.set(name, service);
    }
    return service;
  }

  #judge(ranked: RankedOffer): SheddingDecision {
    const { offer, service, rank, now } = ranked;
    const { waiting, prefillTime, isPrefillSpeedKnown } = offer;
    const overload = overloadRetryDelay({
      waiting,
      prefillTime,
      objective: offer.objectiveLeft,
      isPrefillSpeedKnown,
    });
    const ownLimit = objectiveLimit(offer, service.ownErrorMargin(offer, now));
    if (!service.isShared(now)) {
      return overload === undefined ? { kind: "admitted" } : {
        kind: "refused",
        reason: RefusalReason.objective,
        retryAfter: overload,
        limit: ownLimit,
        share: 1,
        totalsAge: undefined,
      };
    }
    const totals = service.totalsOf(offer.priority, now);
    const share = rank.share(offer.workspace, totals, now);
    const { counter } = rank.workspace(offer.workspace);
    const work = engineTime(offer);
    const isWithin = counter.take(work, share);
    if (!isPrefillSpeedKnown || waiting < sheddingTimes.minQueue) {
      return { kind: "admitted" };
    }
    const rankLimit = this.#limitForUrgent(ranked);
    const limit = Math.min(ownLimit, rankLimit);
    const usedLimit = isWithin ? limit : this.#limitBeyondShare(ranked, limit);
    if (waiting <= usedLimit) {
      return { kind: "admitted" };
    }
    if (isWithin) {
      counter.giveBack(work);
    }
    return {
      kind: "refused",
      reason: findReason({ waiting, ownLimit, rankLimit }),
      retryAfter: this.#assignReturn(ranked, {
        availableIn: Math.max(overload ?? 0, waiting - usedLimit),
        isWithin,
      }),
      limit: usedLimit,
      share,
      totalsAge: service.totalsAge(now),
    };
  }

  /** Longest wait that keeps more urgent requests on time. */
  #limitForUrgent({ offer, service, now }: RankedOffer): Milliseconds {
    let limit = Infinity;
    for (const [priority, objective] of service.objectives) {
      if (priority < offer.priority) {
        const { asked } = service.sums(priority, now);
        limit = asked > 0
          ? Math.min(
            limit,
            this.#limitFor({ priority, objective }, {
              service,
              ownPrefillTime: offer.prefillTime,
              now,
            }),
          )
          : limit;
      }
    }
    return Math.max(sheddingTimes.minQueue, limit);
  }

  #limitFor(
    { priority, objective }: { priority: number; objective: Milliseconds },
    { service, ownPrefillTime, now }: {
      service: ServiceDemand;
      ownPrefillTime: Milliseconds;
      now: Milliseconds;
    },
  ): Milliseconds {
    const { asked, admitted } = service.sums(priority, now);
    return this.#rankLimit({
      objective,
      prefillTime: service.rank(priority).prefillTime(now),
      estimateError: Math.max(
        sheddingTimes.firstTokenOverhead,
        service.estimateErrors.value(now),
      ),
      refusedShare: asked > 0 ? 1 - admitted / asked : 0,
      ownPrefillTime,
    });
  }

  /**
   * Longest wait of requests beyond their workspace's share, between the limits
   * of the next less urgent rank and of those within the share.
   */
  #limitBeyondShare(
    { offer, service, now }: RankedOffer,
    limit: Milliseconds,
  ): Milliseconds {
    const { minQueue } = sheddingTimes;
    const objective = service.objectives.get(offer.priority);
    let next: Milliseconds = minQueue;
    for (const priority of service.objectives.keys()) {
      const isNext = objective !== undefined && priority > offer.priority &&
        service.sums(priority, now).asked > 0;
      if (isNext) {
        const nextLimit = this.#limitFor(
          { priority: offer.priority, objective },
          {
            service,
            ownPrefillTime: service.rank(priority).prefillTime(now),
            now,
          },
        );
        next = Math.max(next, nextLimit);
      }
    }
    const between = next + (limit - next) * BEYOND_SHARE_POSITION;
    return Math.max(minQueue, Math.min(between, limit * MAX_BEYOND_SHARE));
  }

  #assignReturn(
    { offer, rank, now }: RankedOffer,
    { availableIn, isWithin }: { availableIn: Milliseconds; isWithin: boolean },
  ): Milliseconds {
    const workspace = rank.workspace(offer.workspace);
    const { within, beyond } = workspace.returns;
    return (isWithin ? within : beyond).assign({
      availableIn: Math.max(sheddingTimes.minRetryDelay, availableIn),
      rate: rank.returnRate(workspace, now),
      timeLeft: offer.timeLeft,
      random: this.#random,
    }, now);
  }
}

/** Engine time of a request; at least 1 ms, so that each one counts. */
function engineTime({ prefillTime }: Offer): Milliseconds {
  return Math.max(1, prefillTime);
}

function findReason(
  { waiting, ownLimit, rankLimit }: {
    waiting: Milliseconds;
    ownLimit: Milliseconds;
    rankLimit: Milliseconds;
  },
): RefusalReason {
  if (waiting > ownLimit) {
    return RefusalReason.objective;
  }
  return waiting > rankLimit ? RefusalReason.priority : RefusalReason.workspace;
}
