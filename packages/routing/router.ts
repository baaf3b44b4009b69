import type { Milliseconds } from "@heroncleat/base";
import type {
  Announcement,
  CacheEvent,
  ConfigurationView,
  Group,
} from "@heroncleat/schema";
import type { Candidate } from "./candidate.ts";
import type { CandidateChoice } from "./candidate_choice.ts";
import { chooseGroup } from "./choose_group.ts";
import { chooseWeighted } from "./choose_weighted.ts";
import { hasLabels } from "./has_labels.ts";
import { matchSelector } from "./match_selector.ts";
import type { RouteChoice } from "./route_choice.ts";
import type { RoutedRequest } from "./routed_request.ts";
import type { RoutingSettings } from "./routing_settings.ts";
import { subsetUpstreams } from "./subset_upstreams.ts";
import { UpstreamModel } from "./upstream_model.ts";

/** Why a request can't be routed. */
type Unroutable =
  | "no_selector"
  | "all_draining"
  | "no_upstream"
  | "all_failing";

/** Where a request goes, or why it goes nowhere. */
type RouteDecision =
  | { readonly kind: "chosen"; readonly choice: RouteChoice }
  | { readonly kind: "unroutable"; readonly reason: Unroutable };

/** What the router is built from. */
type RouterOptions = {
  readonly entry: string;
  readonly hash: (text: string) => number;
  /** Defaults to the product's own policy. */
  readonly choose?: CandidateChoice;
};

/**
 * Chooses the upstream of each request. It holds no sockets and no timers;
 * its owner tells it what happened and when.
 *
 * @public
 */
export class Router {
  readonly #settings: RoutingSettings;
  readonly #options: RouterOptions;
  readonly #choose: CandidateChoice;
  readonly #upstreams = new Map<string, UpstreamModel>();
  #sharers = 1;
  /** Upstreams that this entry routes to; made anew when it is asked for. */
  #subset: UpstreamModel[] | undefined;
  #view: ConfigurationView | undefined;

  constructor(settings: RoutingSettings, options: RouterOptions) {
    this.#settings = settings;
    this.#options = options;
    this.#choose = options.choose ?? chooseWeighted(settings.weighting);
  }

  /** Sets how many entries send to the same upstreams. */
  setSharers(sharers: number): void {
    this.#sharers = sharers;
    for (const upstream of this.#upstreams.values()) {
      upstream.setSharers(sharers);
    }
  }

  /** Requests that this entry has running at an upstream. */
  runningAt(upstream: string): number {
    return this.#upstreams.get(upstream)?.running ?? 0;
  }

  /** Slots of the upstreams that take new work for a model or a service. */
  slotsFor(pool: Pick<RoutedRequest, "model" | "service">): number {
    let slots = 0;
    for (const upstream of this.#upstreams.values()) {
      if (serves(upstream, pool)) {
        slots += upstream.announcement.slots;
      }
    }
    return slots;
  }

  /** Slots for a model or a service that are likely free now. */
  freeSlotsFor(pool: Pick<RoutedRequest, "model" | "service">): number {
    let free = 0;
    for (const upstream of this.#upstreams.values()) {
      if (serves(upstream, pool)) {
        free += Math.max(0, upstream.freeSlots());
      }
    }
    return free;
  }

  /** Models and adapters that some upstream has loaded. */
  get models(): string[] {
    const models = new Set<string>();
    for (const upstream of this.#upstreams.values()) {
      for (const model of upstream.announcement.models) {
        models.add(model);
      }
    }
    return [...models].sort();
  }

  configure(view: ConfigurationView): void {
    this.#view = view;
  }

  upstreamChanged(announcement: Announcement, now: Milliseconds): void {
    const known = this.#upstreams.get(announcement.name);
    if (known !== undefined) {
      known.update(announcement, now);
      return;
    }
    const model = new UpstreamModel(announcement, {
      settings: this.#settings,
      now,
    });
    model.setSharers(this.#sharers);
    this.#upstreams.set(announcement.name, model);
    this.#subset = undefined;
  }

  upstreamLapsed(name: string): void {
    if (this.#upstreams.delete(name)) {
      this.#subset = undefined;
    }
  }

  cacheChanged(upstream: string, event: CacheEvent): void {
    this.#upstreams.get(upstream)?.cache.take(event);
  }

  /** Chooses, and counts the request as running there from now on. */
  route(
    request: RoutedRequest,
    options: { token: string; now: Milliseconds },
  ): RouteDecision {
    const found = this.#findCandidates(request, options.now);
    if (typeof found === "string") {
      return { kind: "unroutable", reason: found };
    }
    const chosen = this.#choose(found, {
      firstToken: this.#settings.firstTokenTarget * this.#settings.targetShare,
      betweenTokens: this.#settings.betweenTokensTarget,
    });
    const { announcement } = chosen.upstream;
    chosen.upstream.dispatched(options.token, options.now);
    chosen.upstream.cache.remember(request.prefix);
    return {
      kind: "chosen",
      choice: {
        upstream: announcement.name,
        address: announcement.address,
        estimatedFirstToken: chosen.firstToken,
        cachedTokens: chosen.cachedTokens,
      },
    };
  }

  firstToken(
    upstream: string,
    times: { measured: Milliseconds; estimated: Milliseconds },
  ): void {
    const model = this.#upstreams.get(upstream);
    model?.noteFirstToken(times.measured, times.estimated);
  }

  /** Notes the mean time between the tokens of one request. */
  betweenTokens(upstream: string, measured: Milliseconds): void {
    this.#upstreams.get(upstream)?.noteBetweenTokens(measured);
  }

  /** Notes how a request ended; `neutral` says nothing of the upstream. */
  ended(
    upstream: string,
    options: {
      token: string;
      outcome: "succeeded" | "failed" | "neutral";
      now: Milliseconds;
    },
  ): void {
    const model = this.#upstreams.get(upstream);
    if (model === undefined) {
      return;
    }
    model.ended(options.token, options.now);
    switch (options.outcome) {
      case "succeeded":
        model.breaker.succeeded();
        return;
      case "failed":
        model.breaker.failed(options.now);
        return;
      case "neutral":
        model.breaker.abandoned();
        return;
    }
  }

  /** Whether a request that names these would be let through now. */
  idempotencyOf(request: RoutedRequest): boolean | undefined {
    const view = this.#view;
    return view === undefined
      ? undefined
      : matchSelector(view, request)?.idempotent;
  }

  #findCandidates(
    request: RoutedRequest,
    now: Milliseconds,
  ): Candidate[] | Unroutable {
    const groups = this.#findGroups(request);
    if (groups === undefined) {
      return "no_selector";
    }
    const open = groups.filter((group) => group.state !== "draining");
    if (groups.length > 0 && open.length === 0) {
      return "all_draining";
    }
    const serving = this.#servingUpstreams(request);
    const chosen = chooseGroup(open, this.#options.hash(request.id));
    const preferred = serving.filter((upstream) =>
      chosen !== undefined && this.#belongs(upstream, chosen)
    );
    // An empty group must not lose requests that another one can serve.
    const inGroups = preferred.length > 0 ? preferred : serving.filter(
      (upstream) => open.some((group) => this.#belongs(upstream, group)),
    );
    if (inGroups.length === 0) {
      return "no_upstream";
    }
    const allowed = inGroups.filter((upstream) => upstream.breaker.allows(now));
    if (allowed.length === 0) {
      return "all_failing";
    }
    return allowed.map((upstream) => evaluate(upstream, request));
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
      const group = view.groups[name];
      if (group !== undefined) {
        groups.push(group);
      }
    }
    return groups;
  }

  #servingUpstreams(request: RoutedRequest): UpstreamModel[] {
    this.#subset ??= this.#chooseSubset();
    return this.#subset.filter((upstream) =>
      serves(upstream, request) &&
      !request.exclude.includes(upstream.announcement.name)
    );
  }

  #belongs(upstream: UpstreamModel, group: Group): boolean {
    const { name, labels } = upstream.announcement;
    const added = this.#view?.labels[name] ?? {};
    return hasLabels({ ...labels, ...added }, group.labels);
  }

  #chooseSubset(): UpstreamModel[] {
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
    const chosen: UpstreamModel[] = [];
    for (const names of pools.values()) {
      for (const name of subsetUpstreams(names, { entry, size, hash })) {
        chosen.push(this.#upstreams.get(name)!);
      }
    }
    return chosen;
  }
}

function serves(
  upstream: UpstreamModel,
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

function evaluate(
  upstream: UpstreamModel,
  request: RoutedRequest,
): Candidate {
  const share = upstream.cache.cachedShare(request.prefix);
  const cachedTokens = Math.floor(request.promptTokens * share);
  return {
    upstream,
    firstToken: upstream.estimateFirstToken(request.promptTokens, share),
    cachedTokens,
    uncachedTokens: request.promptTokens - cachedTokens,
  };
}
