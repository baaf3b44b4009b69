import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import { PrefixCacheEstimate } from "./prefix_cache_estimate.ts";
import { Backlog } from "./backlog.ts";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import { NoticeThreshold } from "./notice_threshold.ts";
import type { PromptPart } from "./prompt_part.ts";
import { prefillTime } from "./prefill_time.ts";
import { UpstreamBalancer } from "./upstream_balancer.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";

const STEP: Milliseconds = 1;
/** One-way network latency between two VMs. */
const NETWORK_LATENCY: Milliseconds = 1;
/** Prompts with a shorter prefill are never announced. */
const MIN_ANNOUNCED_PREFILL: Milliseconds = 10;
const SECOND: Milliseconds = 1000;
/** Time for which a request runs after its prefill. */
const DECODE_TIME: Milliseconds = 900;
const ENGINE_CAPACITY_TOKENS = 580_000;
const SLOTS = 64;
const ZONES = ["a", "b", "c"];

/**
 * Kinds of prompts: share of requests, variants of the shared part, part sizes
 * in tokens.
 */
const PROMPT_KINDS = [
  { part: 0.37, variants: 660, shared: 13_300, own: 3700 },
  { part: 0.17, variants: 290, shared: 6300, own: 2900 },
  { part: 0.46, variants: 550, shared: 350, own: 1100 },
];

/** Parameters of a simulation. */
type SimulationOptions = {
  readonly entries: number;
  readonly engines: number;
  readonly requestsPerSecond: number;
  /** Time between two exchanges of an entry with the control replica. */
  readonly exchangePause: Milliseconds;
  /** Which dispatches are announced to the other entries. */
  readonly notices: "none" | "all" | "longest";
  readonly seed: number;
};

/** Measurements of a simulation. */
type SimulationResult = {
  /** Time from dispatch to the end of the prefill. */
  readonly mean: Milliseconds;
  readonly p99: Milliseconds;
  /** Share of the prompt tokens that engines had to prefill. */
  readonly prefilledShare: number;
  /** Rate of datagrams that each entry receives. */
  readonly datagramsPerSecond: number;
};

/** Actual state of an engine, as opposed to the estimates of entries. */
type SimulatedEngine = {
  readonly backlog: Backlog;
  readonly cache: PrefixCacheEstimate;
};

/** Scheduled actions by time in milliseconds. */
type Schedule = Map<number, (() => void)[]>;

/**
 * Simulates entries that choose engines with `UpstreamBalancer`, each with its
 * own view: exchanges deliver the loads of the other entries late, notices
 * deliver single dispatches immediately.
 */
export class SimulatedBalancers {
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #directory = new UpstreamDirectory();
  readonly #balancers: UpstreamBalancer[];
  readonly #thresholds: NoticeThreshold[];
  readonly #engines = new Map<string, SimulatedEngine>();
  /** Last reported loads by entry, and their sums. */
  readonly #reported: Record<string, { requests: number; backlog: number }>[];
  readonly #totals = new Map<string, { requests: number; backlog: number }>();
  readonly #scheduled: Schedule = new Map();
  readonly #prefillTimes: Milliseconds[] = [];
  #now = 0;
  #noticeCount = 0;
  #prefilledTokens = 0;
  #promptTokens = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#balancers = Array.from(
      { length: options.entries },
      () => new UpstreamBalancer(),
    );
    this.#thresholds = this.#balancers.map(() => new NoticeThreshold());
    this.#reported = this.#balancers.map(() => ({}));
    for (let index = 0; index < options.engines; index += 1) {
      this.#addEngine(`engine-${index}`, ZONES[index % ZONES.length]!);
    }
  }

  /** Runs for a time; the measurements exclude the first third. */
  run(seconds: number): SimulationResult {
    const { entries, requestsPerSecond, exchangePause } = this.#options;
    const endTime = seconds * SECOND;
    let pendingRequests = 0;
    for (; this.#now < endTime; this.#now += STEP) {
      if (this.#now === Math.floor(endTime / 3)) {
        this.#reset();
      }
      for (const action of this.#scheduled.get(this.#now) ?? []) {
        action();
      }
      this.#scheduled.delete(this.#now);
      for (let entry = 0; entry < entries; entry += 1) {
        const phase = Math.floor(entry * exchangePause / entries);
        if (this.#now % exchangePause === phase) {
          this.#exchange(entry);
        }
      }
      pendingRequests += requestsPerSecond * STEP / SECOND;
      while (
        pendingRequests >= 1 ||
        (pendingRequests > 0 && this.#random() < pendingRequests)
      ) {
        pendingRequests -= 1;
        this.#dispatch(Math.floor(this.#random() * entries));
      }
    }
    return this.#summarize(endTime * 2 / 3 / SECOND);
  }

  #summarize(seconds: number): SimulationResult {
    const sorted = [...this.#prefillTimes].sort((left, right) => left - right);
    const sum = sorted.reduce((total, took) => total + took, 0);
    return {
      mean: sum / sorted.length,
      p99: sorted[Math.floor(sorted.length * 0.99)]!,
      prefilledShare: this.#prefilledTokens / this.#promptTokens,
      datagramsPerSecond: this.#noticeCount / seconds,
    };
  }

  #reset(): void {
    this.#prefillTimes.length = 0;
    this.#noticeCount = 0;
    this.#prefilledTokens = 0;
    this.#promptTokens = 0;
  }

  #addEngine(id: string, zone: string): void {
    this.#engines.set(id, {
      backlog: new Backlog(),
      cache: new PrefixCacheEstimate(),
    });
    this.#directory.merge({
      id,
      name: id,
      born: undefined,
      service: "writers",
      address: `${id}:80`,
      zone,
      slots: SLOTS,
      sequence: 1,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    }, 0);
  }

  #exchange(entry: number): void {
    const balancer = this.#balancers[entry]!;
    const before = this.#reported[entry]!;
    const loads = balancer.loads(this.#now);
    this.#reported[entry] = loads;
    this.#addAll(before, -1);
    this.#addAll(loads, 1);
    const others: Record<string, { requests: number; backlog: number }> = {};
    for (const [id, { requests, backlog }] of this.#totals) {
      others[id] = {
        requests: requests - (loads[id]?.requests ?? 0),
        backlog: backlog - (loads[id]?.backlog ?? 0),
      };
    }
    balancer.replaceReportedLoads(others, this.#now);
  }

  #addAll(
    loads: Readonly<Record<string, { requests: number; backlog: number }>>,
    sign: 1 | -1,
  ): void {
    for (const [id, { requests, backlog }] of Object.entries(loads)) {
      const total = this.#totals.get(id) ?? { requests: 0, backlog: 0 };
      total.requests += sign * requests;
      total.backlog += sign * backlog;
      this.#totals.set(id, total);
    }
  }

  #dispatch(entry: number): void {
    const balancer = this.#balancers[entry]!;
    const parts = this.#drawPrompt();
    const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const chosen = balancer.choose(this.#directory.list(), {
      now: this.#now,
      requiresHeartbeats: false,
      request: {
        service: "writers",
        zone: ZONES[entry % ZONES.length]!,
        parts,
        promptTokens,
        excluded: new Set(),
      },
    })!;
    const notice = balancer.begin(chosen, { parts, now: this.#now });
    this.#prefill(chosen, parts);
    this.#promptTokens += promptTokens;
    this.#schedule(this.#now + DECODE_TIME, () => balancer.end(chosen));
    if (!this.#isAnnounced(entry, notice.readTime)) {
      return;
    }
    this.#noticeCount += 1;
    this.#schedule(this.#now + NETWORK_LATENCY, () => {
      for (const [index, other] of this.#balancers.entries()) {
        if (index !== entry) {
          other.applyDispatchNotice(notice, this.#now);
          this.#thresholds[index]!.recordReceived(this.#now);
        }
      }
    });
  }

  #isAnnounced(entry: number, duration: Milliseconds): boolean {
    const { notices } = this.#options;
    return notices === "longest"
      ? this.#thresholds[entry]!.admit(duration, this.#now)
      : notices === "all" && duration >= MIN_ANNOUNCED_PREFILL;
  }

  /** Adds the prefill of a prompt to the engine's backlog. */
  #prefill(chosen: ChosenUpstream, parts: readonly PromptPart[]): void {
    const engine = this.#engines.get(chosen.upstream.record.id)!;
    const cached = engine.cache.countCachedTokens(
      parts,
      ENGINE_CAPACITY_TOKENS,
    );
    const total = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const uncached = total - cached;
    engine.backlog.add(prefillTime(uncached, cached), this.#now);
    engine.cache.addTokens(uncached);
    const took = engine.backlog.remaining(this.#now);
    for (const { id } of parts) {
      engine.cache.recordPart(id, this.#now + took);
    }
    this.#prefilledTokens += uncached;
    this.#prefillTimes.push(took);
  }

  /** Draws a prompt of a recurring shared part and a unique part. */
  #drawPrompt(): PromptPart[] {
    let draw = this.#random();
    const kind = PROMPT_KINDS.find(({ part }) => (draw -= part) < 0) ??
      PROMPT_KINDS[0]!;
    const variant = Math.floor(this.#random() ** 1.5 * kind.variants);
    const own = Math.round(kind.own * (0.3 + 1.4 * this.#random() ** 2 * 1.5));
    return [
      { id: `${kind.shared}-${variant}`, tokens: kind.shared },
      { id: `own-${this.#prefillTimes.length}-${this.#random()}`, tokens: own },
    ];
  }

  #schedule(time: Milliseconds, action: () => void): void {
    const actions = this.#scheduled.get(time) ?? [];
    actions.push(action);
    this.#scheduled.set(time, actions);
  }
}
