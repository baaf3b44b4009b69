import type { Milliseconds } from "@heroncleat/base";
import type { PartPlacement } from "./part_placement.ts";
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
const PART_KEPT = 20_000;
/** Time for which a placement is told to the control replicas. */
const PLACEMENT_TOLD = 500;
/** Fewer tokens than this are read again rather than fetched. */
const LEAST_FETCH = 1500;
/** Time in ms to fetch a token's memory over the links of the upstreams. */
const FETCH_COST = 0.011;
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
  /** Tokens whose memory comes from `source` instead of being read. */
  readonly fetchedTokens: number;
  /** Time in ms until its first token, as the choice estimates it. */
  readonly expected: Milliseconds;
  /** An upstream that holds parts which the chosen one lacks, if known. */
  readonly source: KnownUpstream | undefined;
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
  #placements: (PartPlacement & { at: Milliseconds })[] = [];

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

  /** Takes in where other entries sent shared parts. */
  learnPlacements(
    placements: readonly PartPlacement[],
    now: Milliseconds,
  ): void {
    for (const { part, upstream } of placements) {
      this.#notePart(this.#view(upstream), { part, now });
    }
  }

  /** Shared parts that this entry sent lately. */
  recentPlacements(now: Milliseconds): PartPlacement[] {
    this.#placements = this.#placements.filter(({ at }) =>
      now - at < PLACEMENT_TOLD
    );
    return this.#placements.map(({ part, upstream }) => ({ part, upstream }));
  }

  choose(
    upstreams: Iterable<KnownUpstream>,
    options: { request: ChoiceRequest; now: Milliseconds; trusts: boolean },
  ): ChosenUpstream | undefined {
    const { request, now } = options;
    const known = [...upstreams];
    const usable = known.filter((upstream) =>
      this.#isUsable(upstream, options)
    );
    const source = this.#findSource(known, { request, now });
    const homes = findHomes(sharedPartOf(request), usable);
    let best: ChosenUpstream | undefined;
    let bestCost = Infinity;
    for (const upstream of usable) {
      const { id } = upstream.record;
      const uncachedTokens = this.#uncached(id, { request, now });
      const fetched = this.#fetchedTokens(source, { upstream, request, now });
      const cost = this.#cost(upstream, uncachedTokens - fetched) +
        fetched * FETCH_COST + zoneCost(upstream, request) +
        homeCost(homes, id);
      if (cost < bestCost) {
        best = {
          upstream,
          uncachedTokens: uncachedTokens - fetched,
          fetchedTokens: fetched,
          expected: cost,
          source: fetched > 0 ? source : undefined,
        };
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
    const { parts, now } = options;
    const upstream = chosen.upstream.record.id;
    for (const part of parts) {
      this.#notePart(view, { part: part.id, now });
    }
    for (const part of parts.slice(0, -1)) {
      this.#placements.push({ part: part.id, upstream, at: now });
    }
  }

  #notePart(
    view: OwnView,
    options: { part: string; now: Milliseconds },
  ): void {
    const { part, now } = options;
    view.parts.delete(part);
    view.parts.set(part, now);
    if (view.parts.size > MOST_PARTS) {
      view.parts.delete(view.parts.keys().next().value!);
    }
  }

  /** An upstream that was sent the deepest shared part, latest first. */
  #findSource(
    upstreams: readonly KnownUpstream[],
    options: { request: ChoiceRequest; now: Milliseconds },
  ): KnownUpstream | undefined {
    const part = sharedPartOf(options.request);
    let latest = options.now - PART_KEPT;
    let source: KnownUpstream | undefined;
    for (const upstream of part === undefined ? [] : upstreams) {
      const usedAt = this.#own.get(upstream.record.id)?.parts.get(part!);
      const { record, heardAt } = upstream;
      const isThere = record.state !== "gone" &&
        options.now - heardAt < SILENT_AFTER;
      if (usedAt !== undefined && usedAt > latest && isThere) {
        latest = usedAt;
        source = upstream;
      }
    }
    return source;
  }

  /** Tokens that an upstream would get from the source. */
  #fetchedTokens(
    source: KnownUpstream | undefined,
    options: {
      upstream: KnownUpstream;
      request: ChoiceRequest;
      now: Milliseconds;
    },
  ): number {
    const { upstream, request, now } = options;
    if (source === undefined || source === upstream) {
      return 0;
    }
    const parts = this.#own.get(upstream.record.id)?.parts;
    let missing = 0;
    for (const part of request.parts.slice(0, -1)) {
      const usedAt = parts?.get(part.id) ?? -Infinity;
      const isMissing = missing > 0 || now - usedAt >= PART_KEPT;
      missing += isMissing ? part.tokens : 0;
    }
    return missing >= LEAST_FETCH ? missing : 0;
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
    options: { request: ChoiceRequest; now: Milliseconds },
  ): number {
    const { request, now } = options;
    const parts = this.#own.get(id)?.parts;
    let uncached = request.promptTokens;
    for (const part of request.parts) {
      const usedAt = parts?.get(part.id);
      if (usedAt === undefined || now - usedAt >= PART_KEPT) {
        break;
      }
      uncached -= part.tokens;
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

/** Cost in ms of any upstream but the first home of a part. */
const SECOND_COST = 15;
/** Cost in ms of an upstream that is no home of a part. */
const OTHER_COST = 40;

function homeCost(homes: readonly string[], id: string): number {
  if (homes.length === 0 || id === homes[0]) {
    return 0;
  }
  return id === homes[1] ? SECOND_COST : OTHER_COST;
}

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
