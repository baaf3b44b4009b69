import { createRecord, type Milliseconds } from "@heroncleat/base";
import type { DispatchNotice } from "@heroncleat/schema";
import type { BalancerCosts } from "./balancer_costs.ts";
import type { BalancedRequest } from "./balanced_request.ts";
import type { ChoiceOptions } from "./choice_options.ts";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import { estimatedCosts } from "./estimated_costs.ts";
import type { FinishedRun } from "./finished_run.ts";
import { lastSharedPart } from "./last_shared_part.ts";
import { LocalViews } from "./local_views.ts";
import { PreferredUpstreams } from "./preferred_upstreams.ts";
import type { PromptPart } from "./prompt_part.ts";
import { planKvFetch } from "./plan_kv_fetch.ts";
import { prefillTime } from "./prefill_time.ts";
import { Prefills } from "./prefills.ts";
import { PrefillSpeeds } from "./prefill_speeds.ts";
import type { KnownUpstream } from "./known_upstream.ts";
import { ReportedLoads } from "./reported_loads.ts";
import { slotTimeOf } from "./slot_time_of.ts";
import { SlotTimes } from "./slot_times.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import { UpstreamAvailability } from "./upstream_availability.ts";
import { UpstreamStatements } from "./upstream_statements.ts";

/**
 * Time for which an upstream is avoided after a failure that it may have
 * caused.
 */
const FAILURE_BACKOFF: Milliseconds = 1500;
/**
 * Time for which an upstream is avoided after another entry reported that it
 * failed, or after it didn't accept a connection in time.
 */
const AVOIDANCE_PERIOD: Milliseconds = 1000;
/**
 * Cost of an upstream that is avoided. It isn't excluded: the network of the
 * entry that reported it may be at fault, a sound one may be silent for a
 * second, or all may be avoided.
 */
const AVOIDANCE_COST: Milliseconds = 500;
/**
 * Cost of an upstream that may reject as others do, where no retry is left.
 * Those that have rejected requests cost more.
 */
const UNTESTED_COST: Milliseconds = 250;
/** Delay of a first token per running request. */
const RUNNING_REQUEST_COST: Milliseconds = 1.2;
/**
 * Cost of a new connection: its handshake, and upstreams limit their number.
 */
const CONNECTION_COST: Milliseconds = 4;
/**
 * Cost per running request for a request that may crash its upstream, as the
 * others would fail with it.
 */
const CRASH_EXPOSURE_COST: Milliseconds = 200;
/**
 * Cost of an upstream that drains, to which comes the time that it has been
 * draining: a request may outlast what is left.
 */
const DRAINING_COST: Milliseconds = 1000;
/** Cost of sending a request to another availability zone. */
const CROSS_ZONE_COST: Milliseconds = 1.5;
/** An eligible upstream; the one with the lowest cost is chosen. */
type Candidate = ChosenUpstream & { readonly cost: Milliseconds };

/** Inputs of a choice that are the same for all upstreams. */
type Evaluation = {
  readonly request: BalancedRequest;
  readonly now: Milliseconds;
  /** Parts of the prompt without the last one. */
  readonly shared: readonly PromptPart[];
  readonly sources: readonly KnownUpstream[];
  readonly preferredUpstreams: PreferredUpstreams;
};

/**
 * Chooses the upstream with the lowest estimated time to first token, from
 * cached prompt parts, backlog and running requests. Rendezvous hashing assigns
 * new parts, so that all entries agree on them.
 *
 * @public
 */
export class UpstreamBalancer {
  readonly #views = new LocalViews();
  readonly #reportedLoads = new ReportedLoads();
  readonly #slotTimes = new SlotTimes();
  readonly #prefillWork = new Map<string, Milliseconds>();
  readonly #prefills = new Prefills();
  readonly prefillSpeeds = new PrefillSpeeds();
  readonly #statements: UpstreamStatements;
  readonly #availability: UpstreamAvailability;
  readonly #costs: BalancerCosts;

  /**
   * @param options.statements What upstreams stated to this entry.
   * @param options.drainTimeout Time after the acknowledgement that an upstream
   *     drains in which requests may still reach it; 0 for none.
   * @param options.costs Costs that differ from the estimated ones.
   */
  constructor(
    {
      statements = new UpstreamStatements(Math.random),
      drainTimeout = () => 0,
      costs = {},
    }: {
      statements?: UpstreamStatements;
      drainTimeout?: () => Milliseconds;
      costs?: Partial<BalancerCosts>;
    } = {},
  ) {
    this.#costs = { ...estimatedCosts, ...costs };
    this.#statements = statements;
    this.#availability = new UpstreamAvailability({
      views: this.#views,
      statements,
      drainTimeout,
    });
  }

  /** Replaces the loads of the other entries. */
  replaceReportedLoads(
    loads: Readonly<Record<string, UpstreamLoad>>,
    at: Milliseconds,
  ): void {
    this.#reportedLoads.replace(loads, at);
  }

  /** Applies changed loads of the other entries; an empty load is removed. */
  applyLoadChanges(
    loads: Readonly<Record<string, UpstreamLoad>>,
    at: Milliseconds,
  ): void {
    this.#reportedLoads.applyChanges(loads, at);
  }

  /** Loads of this entry by upstream. */
  loads(now: Milliseconds): Record<string, UpstreamLoad> {
    const loads = createRecord<UpstreamLoad>();
    for (const [id, { requests, ownBacklog }] of this.#views) {
      if (requests > 0) {
        loads[id] = {
          requests,
          backlog: Math.round(ownBacklog.remaining(now)),
        };
      }
    }
    return loads;
  }

  /**
   * Total prefill time, on the reference engine, of the prompts that this
   * process sent, by service.
   */
  prefillWork(): Record<string, Milliseconds> {
    return Object.fromEntries(this.#prefillWork);
  }

  /** Records the time to first token at a chosen upstream. */
  recordFirstToken(chosen: ChosenUpstream, took: Milliseconds): void {
    const { hasOnlyPrefillDelay, isLengthPlausible } = chosen;
    const saysSpeed = hasOnlyPrefillDelay && isLengthPlausible;
    if (saysSpeed && chosen.referencePrefillTime > 0) {
      const reference = chosen.referencePrefillTime;
      const { service } = chosen.upstream.record;
      this.prefillSpeeds.forService(service).record({ reference, took });
    }
  }

  /** Applies a notice that another entry dispatched a prompt. */
  applyDispatchNotice(notice: DispatchNotice, now: Milliseconds): void {
    const view = this.#views.of(notice.upstream);
    view.backlog.add(notice.readTime, now);
    view.cache.addTokens(notice.tokens);
    for (const part of notice.parts) {
      view.cache.recordPart(part, now + view.backlog.remaining(now));
    }
  }

  /** The eligible upstream with the lowest cost. */
  choose(
    upstreams: Iterable<KnownUpstream>,
    options: ChoiceOptions,
  ): ChosenUpstream | undefined {
    let best: Candidate | undefined;
    for (const candidate of this.#listCandidates(upstreams, options)) {
      if (best === undefined || candidate.cost < best.cost) {
        best = candidate;
      }
    }
    return best;
  }

  /** All eligible upstreams, the one with the lowest cost first. */
  rank(
    upstreams: Iterable<KnownUpstream>,
    options: ChoiceOptions,
  ): ChosenUpstream[] {
    return this.#listCandidates(upstreams, options)
      .sort((left, right) => left.cost - right.cost);
  }

  /**
   * Records that a request is about to be sent.
   *
   * @returns The notice for the other entries.
   */
  begin(
    chosen: ChosenUpstream,
    options: { parts: readonly PromptPart[]; now: Milliseconds },
  ): DispatchNotice {
    const { parts, now } = options;
    const upstream = chosen.upstream.record.id;
    const tokens = chosen.uncachedTokens + chosen.fetchedTokens;
    const view = this.#views.of(upstream);
    view.requests += 1;
    this.#prefills.begin(chosen, { view, now });
    view.cache.addTokens(tokens);
    const { service } = chosen.upstream.record;
    const previousWork = this.#prefillWork.get(service) ?? 0;
    this.#prefillWork.set(
      service,
      previousWork + Math.round(chosen.referencePrefillTime),
    );
    for (const part of parts) {
      view.cache.recordPart(part.id, now + view.backlog.remaining(now));
    }
    const shared = parts.slice(0, -1).map(({ id }) => id);
    return {
      kind: "dispatch",
      upstream,
      readTime: chosen.readTime,
      tokens,
      parts: shared,
    };
  }

  /**
   * Records that the prefill of a request has ended, so that a prompt whose
   * stated length isn't plausible no longer counts.
   */
  endPrefill(chosen: ChosenUpstream, now: Milliseconds): void {
    this.#prefills.end(chosen, now);
  }

  /**
   * Records the end of a request.
   *
   * @param run Undefined unless the upstream served it completely.
   */
  end(chosen: ChosenUpstream, run?: FinishedRun): void {
    const { id, service } = chosen.upstream.record;
    this.#views.of(id).requests -= 1;
    const slotTime = run === undefined ? undefined : slotTimeOf(chosen, run);
    if (slotTime !== undefined) {
      this.#slotTimes.record(service, slotTime);
    }
  }

  /** Excludes an upstream for the failure backoff. */
  pause(id: string, now: Milliseconds): void {
    this.#views.of(id).pausedUntil = now + FAILURE_BACKOFF;
  }

  /** Excludes a crashed upstream until its next heartbeat. */
  recordCrash(id: string, at: Milliseconds): void {
    this.#views.recordCrash(id, at);
  }

  /** Avoids an upstream that may have failed, if others can serve. */
  avoid(id: string, now: Milliseconds): void {
    this.#views.of(id).avoidedAt = now;
  }

  /** How the upstreams that may serve a request are available for it. */
  availability(
    upstreams: Iterable<KnownUpstream>,
    options: ChoiceOptions,
  ): ReturnType<UpstreamAvailability["summarize"]> {
    return this.#availability.summarize(upstreams, options);
  }

  /** See `UpstreamAvailability`. */
  drainEndsAt(upstream: KnownUpstream): Milliseconds {
    return this.#availability.drainEndsAt(upstream);
  }

  forget(id: string): void {
    this.#views.forget(id);
  }

  #listCandidates(
    upstreams: Iterable<KnownUpstream>,
    options: ChoiceOptions,
  ): Candidate[] {
    const allUpstreams = [...upstreams];
    const eligible = allUpstreams.filter((upstream) =>
      this.#isEligible(upstream, options)
    );
    const evaluation: Evaluation = {
      request: options.request,
      now: options.now,
      shared: options.request.parts.slice(0, -1),
      sources: this.#findSources(allUpstreams, options),
      preferredUpstreams: new PreferredUpstreams(
        lastSharedPart(options.request),
        eligible,
      ),
    };
    return eligible.map((upstream) => this.#evaluate(upstream, evaluation));
  }

  #evaluate(upstream: KnownUpstream, options: Evaluation): Candidate {
    const { request, now, preferredUpstreams, shared } = options;
    const { id, slots, zone } = upstream.record;
    const capacity = request.engine?.kvCapacityTokens;
    const cache = this.#views.find(id)?.cache;
    const cached = cache?.countCachedTokens(request.parts, capacity) ?? 0;
    const { source, fetchedTokens, fetchTime } = planKvFetch(upstream, {
      sources: options.sources,
      shared,
      cached: cache?.countCachedTokens(shared, capacity) ?? 0,
      engine: request.engine,
    });
    const uncachedTokens = Math.max(
      0,
      request.promptTokens - cached - fetchedTokens,
    );
    const referencePrefillTime = prefillTime(
      uncachedTokens,
      cached + fetchedTokens,
    );
    const prefillSpeed = this.prefillSpeeds.forService(request.service);
    const estimatedPrefillTime = referencePrefillTime * prefillSpeed.multiple;
    const slotTime = this.#slotTimes.of(request.service);
    const requests = this.#countRequests(id, { now, slotTime });
    const queue = { requests, slots, slotTime };
    const waiting = Math.max(
      this.#estimateBacklog(id, now),
      this.#costs.slotWait(queue),
      fetchTime,
    );
    const expectedFirstTokenTime = waiting + estimatedPrefillTime +
      requests * RUNNING_REQUEST_COST + this.#costs.queueCost(queue);
    const crashExposureCost = request.prefersIdle
      ? requests * CRASH_EXPOSURE_COST
      : 0;
    const zoneCost = zone === request.zone ? 0 : CROSS_ZONE_COST;
    const connectionCost = request.isConnected?.(id) === false
      ? CONNECTION_COST
      : 0;
    const avoidedAt = this.#views.find(id)?.avoidedAt ?? -Infinity;
    const isAvoided = now - avoidedAt < AVOIDANCE_PERIOD ||
      this.#pausedUntil(id) > now ||
      this.#statements.isAvoided(id, now) ||
      (request.isLastTry === true && this.#statements.isUnproven(id));
    const isRisk = request.isLastTry === true &&
      this.#statements.isUntested(id);
    const failureCost = isAvoided
      ? AVOIDANCE_COST
      : (isRisk ? UNTESTED_COST : 0);
    const drainCost = upstream.record.state === "draining"
      ? DRAINING_COST + now - (upstream.drainingSince ?? now)
      : 0;
    return {
      upstream,
      ownRequests: this.#views.find(id)?.requests ?? 0,
      uncachedTokens,
      fetchedTokens,
      readTime: estimatedPrefillTime,
      referencePrefillTime,
      isLengthPlausible: true,
      isPrefillSpeedKnown: prefillSpeed.isKnown,
      hasOnlyPrefillDelay: fetchTime === 0 && requests + 1 <= slots,
      waiting,
      expectedFirstTokenTime,
      source,
      cost: expectedFirstTokenTime + crashExposureCost + zoneCost +
        connectionCost + failureCost + drainCost +
        preferredUpstreams.placementCost(id),
    };
  }

  /** Upstreams that should have cached the last shared part. */
  #findSources(
    upstreams: readonly KnownUpstream[],
    options: ChoiceOptions,
  ): KnownUpstream[] {
    const { request, now } = options;
    const part = lastSharedPart(request);
    if (part === undefined) {
      return [];
    }
    const capacity = request.engine?.kvCapacityTokens;
    return upstreams.filter((upstream) =>
      this.#availability.mayFetchFrom(upstream, now) &&
      this.#views.find(upstream.record.id)?.cache
          .isPrefilled(part, { capacity, now }) === true
    );
  }

  #isEligible(upstream: KnownUpstream, options: ChoiceOptions): boolean {
    return this.#availability.availableAt(upstream, options) <= options.now;
  }

  #pausedUntil(id: string): Milliseconds {
    return this.#views.find(id)?.pausedUntil ?? 0;
  }

  #countRequests(
    id: string,
    age: { now: Milliseconds; slotTime: Milliseconds | undefined },
  ): number {
    const own = this.#views.find(id)?.requests ?? 0;
    return own + this.#reportedLoads.requests(id, age);
  }

  /**
   * Time until an upstream has prefilled the prompts sent to it. Notices of
   * other entries arrive within milliseconds but may be lost; reported loads
   * arrive late but reliably. The higher estimate counts.
   */
  #estimateBacklog(id: string, now: Milliseconds): Milliseconds {
    const view = this.#views.find(id);
    const others = this.#reportedLoads.backlog(id, now);
    const own = view?.ownBacklog.remaining(now) ?? 0;
    return Math.max(view?.backlog.remaining(now) ?? 0, own + others);
  }
}
