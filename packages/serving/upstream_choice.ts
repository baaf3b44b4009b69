import type { Milliseconds } from "@heroncleat/base";
import type { KnownUpstream } from "./upstream_directory.ts";
import type { UpstreamLoad } from "./upstream_load.ts";

/** Heartbeats come every 1 to 2 s; silence for longer means it is lost. */
const SILENT_AFTER = 5000;
/** Time an upstream is left alone after a failure that may be its own. */
const FAILURE_PAUSE = 1500;
/** Prompt tokens that an engine reads in a millisecond, until measured. */
const READ_RATE = 50;
/** How much one running request slows the next one's first token, in ms. */
const RUNNING_COST = 1.2;
/** Cost of a request beyond the slots of an upstream, in ms. */
const QUEUE_COST = 60;
/** Time after its last use that a part is taken to be cached. */
const PART_KEPT = 25_000;
/** Parts remembered for each upstream. */
const MOST_PARTS = 2000;

/** One part of a prompt, in order; parts are cached as a chain. @public */
export type PromptPart = { readonly id: string; readonly tokens: number };

/** What the choice needs to know of a request. */
type ChoiceRequest = {
  readonly service: string;
  readonly zone: string;
  /** Shared parts of the prompt; empty for plain services. */
  readonly parts: readonly PromptPart[];
  /** All tokens of the prompt. */
  readonly promptTokens: number;
  /** Upstreams that this request must not be sent to. */
  readonly excluded: ReadonlySet<string>;
};

/** A chosen upstream, and the prompt tokens that it has to read. @public */
export type ChosenUpstream = {
  readonly upstream: KnownUpstream;
  readonly uncachedTokens: number;
};

/** What this entry knows of one upstream beside its heartbeats. */
type OwnView = {
  requests: number;
  waitingTokens: number;
  pausedUntil: Milliseconds;
  /** Last use of each part that was sent there, oldest first. */
  readonly parts: Map<string, Milliseconds>;
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
  #others: Readonly<Record<string, UpstreamLoad>> = {};

  learnOthers(loads: Readonly<Record<string, UpstreamLoad>>): void {
    this.#others = loads;
  }

  /** What this entry has under way, by upstream. */
  loads(): Record<string, UpstreamLoad> {
    const loads: Record<string, UpstreamLoad> = {};
    for (const [id, view] of this.#own) {
      if (view.requests > 0) {
        const { requests, waitingTokens } = view;
        loads[id] = { requests, waitingTokens };
      }
    }
    return loads;
  }

  choose(
    upstreams: Iterable<KnownUpstream>,
    options: { request: ChoiceRequest; now: Milliseconds; trusts: boolean },
  ): ChosenUpstream | undefined {
    const { request, now } = options;
    const usable = [...upstreams].filter((upstream) =>
      this.#isUsable(upstream, options)
    );
    const homes = findHomes(sharedPartOf(request), usable);
    let best: ChosenUpstream | undefined;
    let bestCost = Infinity;
    for (const upstream of usable) {
      const { id } = upstream.record;
      const isHome = homes.includes(id);
      const uncachedTokens = this.#uncached(id, { request, now, isHome });
      const cost = this.#cost(upstream, uncachedTokens) +
        zoneCost(upstream, request) + (id === homes[1] ? SECOND_COST : 0);
      if (cost < bestCost) {
        best = { upstream, uncachedTokens };
        bestCost = cost;
      }
    }
    return best;
  }

  /** Notes that a request goes out, before it does. */
  begin(
    chosen: ChosenUpstream,
    options: { parts: readonly PromptPart[]; now: Milliseconds },
  ): void {
    const view = this.#view(chosen.upstream.record.id);
    view.requests += 1;
    view.waitingTokens += chosen.uncachedTokens;
    for (const part of options.parts) {
      view.parts.delete(part.id);
      view.parts.set(part.id, options.now);
    }
    while (view.parts.size > MOST_PARTS) {
      view.parts.delete(view.parts.keys().next().value!);
    }
  }

  /** Notes that the answer of a request has begun. */
  noteFirstByte(chosen: ChosenUpstream): void {
    this.#view(chosen.upstream.record.id).waitingTokens -=
      chosen.uncachedTokens;
  }

  /** Notes that a request ended. */
  end(
    chosen: ChosenUpstream,
    options: { began: boolean },
  ): void {
    const view = this.#view(chosen.upstream.record.id);
    view.requests -= 1;
    if (!options.began) {
      view.waitingTokens -= chosen.uncachedTokens;
    }
  }

  /** Leaves an upstream alone for a while. */
  pause(id: string, now: Milliseconds): void {
    this.#view(id).pausedUntil = now + FAILURE_PAUSE;
  }

  forget(id: string): void {
    this.#own.delete(id);
  }

  #isUsable(
    upstream: KnownUpstream,
    options: { request: ChoiceRequest; now: Milliseconds; trusts: boolean },
  ): boolean {
    const { record, heardAt } = upstream;
    const { request, now, trusts } = options;
    if (record.service !== request.service || record.state !== "ready") {
      return false;
    }
    // Silence means nothing while no news can reach this entry.
    if (trusts && now - heardAt > SILENT_AFTER) {
      return false;
    }
    const pausedUntil = this.#own.get(record.id)?.pausedUntil ?? 0;
    return pausedUntil <= now && !request.excluded.has(record.id);
  }

  #cost(upstream: KnownUpstream, uncachedTokens: number): number {
    const { id, slots } = upstream.record;
    const own = this.#own.get(id);
    const others = this.#others[id];
    const requests = (own?.requests ?? 0) + (others?.requests ?? 0);
    const waiting = (own?.waitingTokens ?? 0) + (others?.waitingTokens ?? 0);
    const queued = Math.max(0, requests + 1 - slots);
    return (waiting + uncachedTokens) / READ_RATE + requests * RUNNING_COST +
      queued * QUEUE_COST;
  }

  /** Parts are cached as a chain, so the first one missing ends it. */
  #uncached(
    id: string,
    options: { request: ChoiceRequest; now: Milliseconds; isHome: boolean },
  ): number {
    const { request, now, isHome } = options;
    const parts = this.#own.get(id)?.parts;
    const shared = sharedPartOf(request);
    let uncached = request.promptTokens;
    let isBeforeShared = isHome;
    for (const part of request.parts) {
      const usedAt = parts?.get(part.id);
      const isCached = usedAt !== undefined && now - usedAt < PART_KEPT;
      if (!isCached && !isBeforeShared) {
        break;
      }
      uncached -= part.tokens;
      isBeforeShared &&= part.id !== shared;
    }
    return Math.max(0, uncached);
  }

  #view(id: string): OwnView {
    const known = this.#own.get(id);
    if (known !== undefined) {
      return known;
    }
    const view: OwnView = {
      requests: 0,
      waitingTokens: 0,
      pausedUntil: 0,
      parts: new Map(),
    };
    this.#own.set(id, view);
    return view;
  }
}

/** Cost of crossing availability zones, in ms. */
const ZONE_COST = 1.5;

function zoneCost(upstream: KnownUpstream, request: ChoiceRequest): number {
  return upstream.record.zone === request.zone ? 0 : ZONE_COST;
}

/** Cost of the second home of a part, so that the first is kept warm. */
const SECOND_COST = 15;

/**
 * The deepest part that other requests are likely to share: the last one
 * belongs to the request itself or its session.
 */
function sharedPartOf(request: ChoiceRequest): string | undefined {
  return (request.parts.at(-2) ?? request.parts.at(-1))?.id;
}

/** The two upstreams that all entries agree to keep a part at. */
function findHomes(
  part: string | undefined,
  upstreams: readonly KnownUpstream[],
): string[] {
  if (part === undefined) {
    return [];
  }
  const ranked = upstreams.map(({ record }) => ({
    id: record.id,
    rank: hashToUnit(part, record.id),
  }));
  ranked.sort((left, right) => left.rank - right.rank);
  return ranked.slice(0, 2).map(({ id }) => id);
}

/** A number from 0 to 1 that any process computes alike (FNV-1a). */
function hashToUnit(part: string, id: string): number {
  let hash = 0x811c9dc5;
  for (const text of [part, id]) {
    for (let at = 0; at < text.length; at += 1) {
      hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
    }
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  hash ^= hash >>> 13;
  return (hash >>> 0) / 0x1_0000_0000;
}
