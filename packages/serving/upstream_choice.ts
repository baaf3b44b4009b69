import type { Milliseconds } from "@heroncleat/base";
import type { DispatchNotice } from "@heroncleat/schema";
import { AssumedCache } from "./assumed_cache.ts";
import { Backlog } from "./backlog.ts";
import type { ChoiceRequest } from "./choice_request.ts";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import { PartHomes } from "./part_homes.ts";
import type { PromptPart } from "./prompt_part.ts";
import { planFetch } from "./plan_fetch.ts";
import { readTime } from "./read_time.ts";
import { ReadingSpeeds } from "./reading_speeds.ts";
import type { KnownUpstream } from "./known_upstream.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Heartbeats come every 1 to 2 s; silence for longer means it is lost. */
const SILENT_AFTER: Milliseconds = 5000;
/** Time an upstream is left alone after a failure that may be its own. */
const FAILURE_PAUSE: Milliseconds = 1500;
/** How much one running request slows the next one's first token. */
const RUNNING_COST: Milliseconds = 1.2;
/** Cost of a request beyond the slots of an upstream. */
const QUEUE_COST: Milliseconds = 60;
/**
 * Cost of a new connection: a handshake of 1 ms and two ways, and upstreams
 * take only so many.
 */
const CONNECTION_COST: Milliseconds = 4;
/**
 * Cost of each request that runs where one goes that may end its upstream:
 * those would end with it.
 */
const ENDANGERED_COST: Milliseconds = 200;
/** Cost of crossing availability zones. */
const ZONE_COST: Milliseconds = 1.5;
/** Time before an upstream leaves from which nothing is fetched there. */
const FETCH_MARGIN: Milliseconds = 500;

/** A chosen upstream with what it costs beside the expected time. */
type Candidate = ChosenUpstream & { readonly cost: Milliseconds };

/** Load of the other entries at an upstream, as it was reported. */
type ReportedLoad = UpstreamLoad & { readonly at: Milliseconds };

/** What this entry knows of one upstream beside its heartbeats. */
type OwnView = {
  requests: number;
  pausedUntil: Milliseconds;
  /** When it was found to have ended; only later heartbeats mean that it runs. */
  endedAt: Milliseconds;
  /** Prompts that this entry sent, and those that all are known to have. */
  readonly ownBacklog: Backlog;
  readonly backlog: Backlog;
  readonly cache: AssumedCache;
};

/** What a choice is made from. */
type ChoiceOptions = {
  readonly request: ChoiceRequest;
  readonly now: Milliseconds;
  /** Whether silence of an upstream means anything. */
  readonly trusts: boolean;
};

/**
 * Chooses the upstream of a request: the one where its first token is
 * expected soonest, from prompt parts cached there, prompts that wait and
 * requests that run. Parts nobody has sent yet get a home by rendezvous
 * hashing, so that all entries agree on it without a message.
 *
 * @public
 */
export class UpstreamChoice {
  readonly #own = new Map<string, OwnView>();
  /** What the other entries had under way, and when that was reported. */
  readonly #others = new Map<string, ReportedLoad>();
  readonly #readWork = new Map<string, Milliseconds>();
  /** How fast the engines of each service read. */
  readonly speeds = new ReadingSpeeds();

  /** Takes in what the other entries had under way at a time. */
  learnOthers(
    loads: Readonly<Record<string, UpstreamLoad>>,
    at: Milliseconds,
  ): void {
    this.#others.clear();
    this.learnChangedLoads(loads, at);
  }

  /** Takes in what of that has changed. */
  learnChangedLoads(
    loads: Readonly<Record<string, UpstreamLoad>>,
    at: Milliseconds,
  ): void {
    for (const [id, load] of Object.entries(loads)) {
      if (load.requests === 0 && load.backlog === 0) {
        this.#others.delete(id);
      } else {
        this.#others.set(id, { ...load, at });
      }
    }
  }

  /** What this entry has under way, by upstream. */
  loads(now: Milliseconds): Record<string, UpstreamLoad> {
    const loads: Record<string, UpstreamLoad> = {};
    for (const [id, { requests, ownBacklog }] of this.#own) {
      if (requests > 0) {
        loads[id] = { requests, backlog: Math.round(ownBacklog.left(now)) };
      }
    }
    return loads;
  }

  /**
   * Time in which the reference engine reads all prompts sent since the start,
   * by service.
   */
  readWork(): Record<string, Milliseconds> {
    return Object.fromEntries(this.#readWork);
  }

  /** Takes in how long the first token of a chosen upstream took. */
  noteFirstToken(chosen: ChosenUpstream, took: Milliseconds): void {
    if (chosen.isClear && chosen.referenceTime > 0) {
      const reference = chosen.referenceTime;
      const { service } = chosen.upstream.record;
      this.speeds.of(service).note({ reference, took });
    }
  }

  /** Takes in that another entry sent a prompt somewhere. */
  learnDispatch(notice: DispatchNotice, now: Milliseconds): void {
    const view = this.#view(notice.upstream);
    view.backlog.add(notice.readTime, now);
    view.cache.addTokens(notice.tokens);
    for (const part of notice.parts) {
      view.cache.notePart(part, now + view.backlog.left(now));
    }
  }

  choose(
    upstreams: Iterable<KnownUpstream>,
    options: ChoiceOptions,
  ): ChosenUpstream | undefined {
    const known = [...upstreams];
    const usable = known.filter((upstream) =>
      this.#isUsable(upstream, options)
    );
    const sources = this.#findSources(known, options);
    const homes = new PartHomes(sharedPartOf(options.request), usable);
    let best: Candidate | undefined;
    for (const upstream of usable) {
      const candidate = this.#weigh(upstream, { ...options, sources, homes });
      if (best === undefined || candidate.cost < best.cost) {
        best = candidate;
      }
    }
    return best;
  }

  /** Notes that a request goes out, before it does. */
  begin(
    chosen: ChosenUpstream,
    options: { parts: readonly PromptPart[]; now: Milliseconds },
  ): DispatchNotice {
    const { parts, now } = options;
    const upstream = chosen.upstream.record.id;
    const tokens = chosen.uncachedTokens + chosen.fetchedTokens;
    const view = this.#view(upstream);
    view.requests += 1;
    view.ownBacklog.add(chosen.readTime, now);
    view.backlog.add(chosen.readTime, now);
    view.cache.addTokens(tokens);
    const { service } = chosen.upstream.record;
    const workBefore = this.#readWork.get(service) ?? 0;
    this.#readWork.set(service, workBefore + Math.round(chosen.referenceTime));
    for (const part of parts) {
      view.cache.notePart(part.id, now + view.backlog.left(now));
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

  /** Notes that a request ended. */
  end(chosen: ChosenUpstream): void {
    this.#view(chosen.upstream.record.id).requests -= 1;
  }

  /** Leaves an upstream alone for a while. */
  pause(id: string, now: Milliseconds): void {
    this.#view(id).pausedUntil = now + FAILURE_PAUSE;
  }

  /** Leaves an upstream alone until it is heard again, as it has ended. */
  noteEnd(id: string, at: Milliseconds): void {
    const view = this.#view(id);
    view.endedAt = Math.max(view.endedAt, at);
  }

  forget(id: string): void {
    this.#own.delete(id);
  }

  #weigh(
    upstream: KnownUpstream,
    options: ChoiceOptions & {
      sources: readonly KnownUpstream[];
      homes: PartHomes;
    },
  ): Candidate {
    const { request, now, homes } = options;
    const { id, slots, zone } = upstream.record;
    const capacity = request.engine?.kvCapacityTokens;
    const cached = this.#own.get(id)?.cache
      .countCached(request.parts, capacity) ?? 0;
    const shared = request.parts.slice(0, -1);
    const { source, fetchedTokens, fetchTime } = planFetch(upstream, {
      sources: options.sources,
      shared,
      cached: this.#own.get(id)?.cache.countCached(shared, capacity) ?? 0,
      engine: request.engine,
    });
    const uncachedTokens = Math.max(
      0,
      request.promptTokens - cached - fetchedTokens,
    );
    const referenceTime = readTime(uncachedTokens, cached + fetchedTokens);
    const speed = this.speeds.of(request.service);
    const reading = referenceTime * speed.multiple;
    const requests = this.#requestsAt(id);
    const queued = Math.max(0, requests + 1 - slots);
    const waiting = Math.max(this.#backlogOf(id, now), fetchTime);
    const expected = waiting + reading + requests * RUNNING_COST +
      queued * QUEUE_COST;
    const endangered = request.prefersIdle ? requests * ENDANGERED_COST : 0;
    const zoneCost = zone === request.zone ? 0 : ZONE_COST;
    const connectionCost = request.isConnected?.(id) === false
      ? CONNECTION_COST
      : 0;
    return {
      upstream,
      uncachedTokens,
      fetchedTokens,
      readTime: reading,
      referenceTime,
      isSpeedKnown: speed.isKnown,
      isClear: fetchTime === 0 && queued === 0,
      waiting,
      expected,
      source,
      cost: expected + endangered + zoneCost + connectionCost +
        homes.costOf(id),
    };
  }

  /** Upstreams that were sent the deepest shared part and should have it. */
  #findSources(
    upstreams: readonly KnownUpstream[],
    options: ChoiceOptions,
  ): KnownUpstream[] {
    const { request, now } = options;
    const part = sharedPartOf(request);
    if (part === undefined) {
      return [];
    }
    const capacity = request.engine?.kvCapacityTokens;
    return upstreams.filter((upstream) =>
      staysFor(upstream, now) &&
      this.#own.get(upstream.record.id)?.cache
          .hasRead(part, { capacity, now }) === true
    );
  }

  #isUsable(upstream: KnownUpstream, options: ChoiceOptions): boolean {
    const { record, receivedAt } = upstream;
    const { request, now, trusts } = options;
    if (record.service !== request.service || record.state !== "ready") {
      return false;
    }
    // Silence means nothing while no updates can reach this entry.
    if (trusts && now - receivedAt > SILENT_AFTER) {
      return false;
    }
    const view = this.#own.get(record.id);
    if (trusts && view !== undefined && receivedAt <= view.endedAt) {
      return false;
    }
    return (view?.pausedUntil ?? 0) <= now && !request.excluded.has(record.id);
  }

  #requestsAt(id: string): number {
    const own = this.#own.get(id)?.requests ?? 0;
    return own + (this.#others.get(id)?.requests ?? 0);
  }

  /**
   * Time until an upstream has read the prompts it was sent. Notices of other
   * entries are at hand within milliseconds but may get lost; their loads come
   * late but surely.
   */
  #backlogOf(id: string, now: Milliseconds): Milliseconds {
    const view = this.#own.get(id);
    const reported = this.#others.get(id);
    const others = reported === undefined
      ? 0
      : Math.max(0, reported.backlog - (now - reported.at));
    const own = view?.ownBacklog.left(now) ?? 0;
    return Math.max(view?.backlog.left(now) ?? 0, own + others);
  }

  #view(id: string): OwnView {
    const known = this.#own.get(id);
    if (known !== undefined) {
      return known;
    }
    const view: OwnView = {
      requests: 0,
      pausedUntil: 0,
      endedAt: -Infinity,
      ownBacklog: new Backlog(),
      backlog: new Backlog(),
      cache: new AssumedCache(),
    };
    this.#own.set(id, view);
    return view;
  }
}

/**
 * The deepest part that other requests are likely to share: the last one
 * belongs to the request itself or its session.
 */
function sharedPartOf(request: ChoiceRequest): string | undefined {
  return (request.parts.at(-2) ?? request.parts.at(-1))?.id;
}

/** Whether an upstream is there long enough to fetch parts from it. */
function staysFor(upstream: KnownUpstream, now: Milliseconds): boolean {
  const { record, receivedAt } = upstream;
  if (record.state === "ready") {
    return now - receivedAt < SILENT_AFTER;
  }
  // Without a time to leave, one that drains may end at any moment.
  return record.state === "draining" && record.leavesIn !== undefined &&
    now < receivedAt + record.leavesIn - FETCH_MARGIN;
}
