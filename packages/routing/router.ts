import { type Milliseconds, ownValue } from "@heroncleat/base";
import type {
  Announcement,
  CacheEvent,
  ConfigurationView,
  Group,
} from "@heroncleat/schema";
import type { Candidate } from "./candidate.ts";
import type { LoadBalancingPolicy } from "./load_balancing_policy.ts";
import { chooseGroup } from "./choose_group.ts";
import { createWeightedPolicy } from "./create_weighted_policy.ts";
import { GroupDrains } from "./group_drains.ts";
import { hasLabels } from "./has_labels.ts";
import { matchSelector } from "./match_selector.ts";
import type { RouteChoice } from "./route_choice.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { RoutingSettings } from "./routing_settings.ts";
import { subsetUpstreams } from "./subset_upstreams.ts";
import { UpstreamTracker } from "./upstream_tracker.ts";

/** Reason why a request can't be routed. */
type UnroutableReason =
  | "no_selector"
  | "all_draining"
  | "no_upstream"
  | "all_failing";

type RouteDecision =
  | { readonly kind: "chosen"; readonly choice: RouteChoice }
  | { readonly kind: "unroutable"; readonly reason: UnroutableReason };

/** Upstreams to choose from. */
type Available = {
  readonly candidates: Candidate[];
  readonly sendBefore: Milliseconds;
};

type RouterOptions = {
  readonly entry: string;
  readonly hash: (text: string) => number;
  /** Defaults to the weighted policy of the settings. */
  readonly choose?: LoadBalancingPolicy;
};

/**
 * Chooses an upstream for each request. It has no sockets or timers: the
 * caller reports events and passes the current time.
 *
 * @public
 */
export class Router {
  readonly #settings: RoutingSettings;
  readonly #options: RouterOptions;
  readonly #choose: LoadBalancingPolicy;
  readonly #upstreams = new Map<string, UpstreamTracker>();
  readonly #drains: GroupDrains;
  #entryCount = 1;
  /** Upstreams that this entry routes to; undefined until computed. */
  #subset: UpstreamTracker[] | undefined;
  #view: ConfigurationView | undefined;

  constructor(settings: RoutingSettings, options: RouterOptions) {
    this.#settings = settings;
    this.#options = options;
    this.#drains = new GroupDrains(settings.drainTimeout);
    this.#choose = options.choose ?? createWeightedPolicy(settings.weighting);
  }

  /** Sets the number of entries that send to the same upstreams. */
  setEntryCount(entryCount: number): void {
    this.#entryCount = entryCount;
    for (const upstream of this.#upstreams.values()) {
      upstream.setEntryCount(entryCount);
    }
  }

  /** Requests of this entry that are running at an upstream. */
  runningAt(upstream: string): number {
    return this.#upstreams.get(upstream)?.running ?? 0;
  }

  /** Total slots of the upstreams that serve a model or service. */
  slotsFor(pool: Pick<RoutedRequest, "model" | "service">): number {
    let slots = 0;
    for (const upstream of this.#upstreams.values()) {
      if (serves(upstream, pool)) {
        slots += upstream.announcement.slots;
      }
    }
    return slots;
  }

  /** Names of the upstreams that serve a model or service. */
  listServing(pool: Pick<RoutedRequest, "model" | "service">): string[] {
    const names: string[] = [];
    for (const [name, upstream] of this.#upstreams) {
      if (serves(upstream, pool)) {
        names.push(name);
      }
    }
    return names;
  }

  /** Estimated free slots for a model or service. */
  freeSlotsFor(pool: Pick<RoutedRequest, "model" | "service">): number {
    let free = 0;
    for (const upstream of this.#upstreams.values()) {
      if (serves(upstream, pool)) {
        free += Math.max(0, upstream.freeSlots());
      }
    }
    return free;
  }

  /** Sorted names of the models and adapters loaded by any upstream. */
  get models(): string[] {
    const models = new Set<string>();
    for (const upstream of this.#upstreams.values()) {
      for (const model of upstream.announcement.models) {
        models.add(model);
      }
    }
    return [...models].sort();
  }

  /**
   * @param confirmedAt When the former configuration was last known to be in
   *     effect; undefined if it wasn't.
   */
  configure(view: ConfigurationView, confirmedAt?: Milliseconds): void {
    this.#drains.update(view.groups, confirmedAt);
    this.#view = view;
  }

  updateUpstream(announcement: Announcement, now: Milliseconds): void {
    const existing = this.#upstreams.get(announcement.name);
    if (existing !== undefined) {
      existing.applyAnnouncement(announcement, now);
      return;
    }
    const tracker = new UpstreamTracker(announcement, {
      settings: this.#settings,
      now,
    });
    tracker.setEntryCount(this.#entryCount);
    this.#upstreams.set(announcement.name, tracker);
    this.#subset = undefined;
  }

  removeUpstream(name: string): void {
    if (this.#upstreams.delete(name)) {
      this.#subset = undefined;
    }
  }

  applyCacheEvent(upstream: string, event: CacheEvent): void {
    this.#upstreams.get(upstream)?.cache.applyEvent(event);
  }

  /** Chooses an upstream and records the dispatch of the request to it. */
  route(
    request: RoutedRequest,
    options: { token: string; now: Milliseconds },
  ): RouteDecision {
    const available = this.#findAvailable(request, options.now);
    if (typeof available === "string") {
      return { kind: "unroutable", reason: available };
    }
    const chosen = this.#choose(available.candidates, {
      maxFirstToken: this.#settings.firstTokenTarget *
        this.#settings.targetSafetyFactor,
      maxTokenInterval: this.#settings.betweenTokensTarget,
    });
    const { announcement } = chosen.upstream;
    chosen.upstream.recordDispatch(options.token, options.now);
    chosen.upstream.cache.recordBlocks(request.prefix);
    return {
      kind: "chosen",
      choice: {
        upstream: announcement.name,
        address: announcement.address,
        estimatedFirstToken: chosen.estimatedFirstToken,
        cachedTokens: chosen.cachedTokens,
        sendBefore: available.sendBefore,
      },
    };
  }

  recordFirstToken(
    upstream: string,
    times: { measured: Milliseconds; estimated: Milliseconds },
  ): void {
    const tracker = this.#upstreams.get(upstream);
    tracker?.recordFirstToken(times.measured, times.estimated);
  }

  /** Records the mean time between tokens of one request. */
  recordTokenInterval(upstream: string, measured: Milliseconds): void {
    this.#upstreams.get(upstream)?.recordTokenInterval(measured);
  }

  /**
   * Records the end of a request. The outcome `neutral` says nothing about the
   * health of the upstream.
   */
  recordEnd(
    upstream: string,
    options: {
      token: string;
      outcome: "succeeded" | "failed" | "neutral";
      now: Milliseconds;
    },
  ): void {
    const tracker = this.#upstreams.get(upstream);
    if (tracker === undefined) {
      return;
    }
    tracker.recordEnd(options.token, options.now);
    switch (options.outcome) {
      case "succeeded":
        tracker.breaker.recordSuccess();
        return;
      case "failed":
        tracker.breaker.recordFailure(options.now);
        return;
      case "neutral":
        tracker.breaker.recordInconclusive();
        return;
    }
  }

  /**
   * Whether the selector of the request declares it idempotent; undefined
   * without such a declaration, selector or configuration.
   */
  isIdempotent(request: RoutedRequest): boolean | undefined {
    const view = this.#view;
    return view === undefined
      ? undefined
      : matchSelector(view, request)?.idempotent;
  }

  /** Groups in drain are tried only if no other one has an upstream. */
  #findAvailable(
    request: RoutedRequest,
    now: Milliseconds,
  ): Available | UnroutableReason {
    const groups = this.#findGroups(request);
    if (groups === undefined) {
      return "no_selector";
    }
    const active = groups.filter((group) => group.state !== "draining");
    const candidates = groups.length > 0 && active.length === 0
      ? "all_draining"
      : this.#findCandidates(request, { active, now });
    if (typeof candidates !== "string") {
      return { candidates, sendBefore: Infinity };
    }
    return this.#findDraining(request, { groups, now }) ?? candidates;
  }

  /** Finds upstreams in drain that may go on with a generation. */
  #findDraining(
    request: RoutedRequest,
    { groups, now }: { groups: readonly Group[]; now: Milliseconds },
  ): Available | undefined {
    if (!request.isContinued) {
      return undefined;
    }
    const endOf = ({ name }: Group) => this.#drains.endsAt(name);
    const byEnd = groups
      .filter((group) => group.state === "draining" && now < endOf(group))
      .sort((a, b) => endOf(b) - endOf(a));
    for (const group of byEnd) {
      const candidates = this.#findCandidates(request, {
        active: [group],
        now,
      });
      if (typeof candidates !== "string") {
        return { candidates, sendBefore: endOf(group) };
      }
    }
    return undefined;
  }

  #findCandidates(
    request: RoutedRequest,
    { active, now }: { active: readonly Group[]; now: Milliseconds },
  ): Candidate[] | UnroutableReason {
    const serving = this.#findServingUpstreams(request);
    const chosen = chooseGroup(active, this.#options.hash(request.id));
    const preferred = serving.filter((upstream) =>
      chosen !== undefined && this.#isInGroup(upstream, chosen)
    );
    // Falls back to the other groups when the chosen one has no upstream.
    const eligible = preferred.length > 0 ? preferred : serving.filter(
      (upstream) => active.some((group) => this.#isInGroup(upstream, group)),
    );
    if (eligible.length === 0) {
      return "no_upstream";
    }
    const available = eligible.filter((upstream) =>
      upstream.breaker.allowsRequest(now)
    );
    if (available.length === 0) {
      return "all_failing";
    }
    return available.map((upstream) => estimateCandidate(upstream, request));
  }

  #findGroups(request: RoutedRequest): Group[] | undefined {
    const view = this.#view;
    if (view === undefined) {
      return undefined;
    }
    const selector = matchSelector(view, request);
    if (selector === undefined) {
      return undefined;
    }
    const groups: Group[] = [];
    for (const name of selector.groups) {
      const group = ownValue(view.groups, name);
      if (group !== undefined) {
        groups.push(group);
      }
    }
    return groups;
  }

  #findServingUpstreams(request: RoutedRequest): UpstreamTracker[] {
    this.#subset ??= this.#chooseSubset();
    return this.#subset.filter((upstream) =>
      serves(upstream, request) &&
      !request.exclude.includes(upstream.announcement.name)
    );
  }

  #isInGroup(upstream: UpstreamTracker, group: Group): boolean {
    const { name, labels } = upstream.announcement;
    const operatorLabels = ownValue(this.#view?.labels ?? {}, name) ?? {};
    return hasLabels({ ...labels, ...operatorLabels }, group.labels);
  }

  #chooseSubset(): UpstreamTracker[] {
    const { entry, hash } = this.#options;
    const size = this.#settings.subsetSize;
    const pools = new Map<string, string[]>();
    for (const [name, { announcement }] of this.#upstreams) {
      const key = announcement.service ?? announcement.models.join();
      const pool = pools.get(key);
      if (pool === undefined) {
        pools.set(key, [name]);
      } else {
        pool.push(name);
      }
    }
    const chosen: UpstreamTracker[] = [];
    for (const names of pools.values()) {
      for (const name of subsetUpstreams(names, { entry, size, hash })) {
        chosen.push(this.#upstreams.get(name)!);
      }
    }
    return chosen;
  }
}

function serves(
  upstream: UpstreamTracker,
  request: Pick<RoutedRequest, "model" | "service">,
): boolean {
  const { announcement } = upstream;
  if (announcement.state !== "serving") {
    return false;
  }
  if (request.service !== "") {
    return announcement.kind === "plain_service" &&
      announcement.service === request.service;
  }
  return announcement.kind === "model_engine" &&
    announcement.models.includes(request.model);
}

function estimateCandidate(
  upstream: UpstreamTracker,
  request: RoutedRequest,
): Candidate {
  const cachedShare = upstream.cache.cachedShare(request.prefix);
  const cachedTokens = Math.floor(request.promptTokens * cachedShare);
  return {
    upstream,
    estimatedFirstToken: upstream.estimateFirstToken(
      request.promptTokens,
      cachedShare,
    ),
    cachedTokens,
    uncachedTokens: request.promptTokens - cachedTokens,
  };
}
