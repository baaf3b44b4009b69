import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import type { UpstreamFilter } from "@heroncleat/rollouts";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import { type DrainDisturbance, planDrains } from "./drain_plan.ts";
import type { DrainPolicy } from "./drain_policy.ts";
import type { DrainReport } from "./drain_report.ts";
import type { KnownUpstream } from "./known_upstream.ts";
import type { PromptPart } from "./prompt_part.ts";
import { SimulatedEntries, type SimulatedEntry } from "./simulated_entries.ts";
import { SimulatedFleet, type SimulatedUpstream } from "./simulated_fleet.ts";
import { SimulatedNetwork } from "./simulated_network.ts";
import { SimulatedReplicas } from "./simulated_replicas.ts";
import { VirtualTime } from "./virtual_time.ts";

const REPLICA_COUNT = 3;
/** Share of all slots that streams take on average. */
const UTILIZATION = 0.4;
/** Time in which entries must know that an upstream drains. */
const NOTICE_TIME: Milliseconds = 1000;
const SLOW_SHARE = 0.02;
const MAX_CONNECT_TIME: Milliseconds = 300;
const MIN_STREAM_TIME: Milliseconds = 500;
const MAX_STREAM_TIME: Milliseconds = 3500;
const PROMPT_TOKENS = 100;
const BROKEN_SHARE = 0.15;
const MAX_RUNS = 3;
const MAX_TRIES = 5;
const RETRY_RATIO = 0.2;
const RETRY_SLACK = 2;
const RETURN_DELAY: Milliseconds = 30;
/** Time before the first stream, and after the last one has begun. */
const START_TIME: Milliseconds = 1500;
const END_TIME: Milliseconds = 5000;
const SERVICE = "desk";
const SLOTS = 16;
const DRAIN_TIMEOUT: Milliseconds = 2000;
const MAX_LATENCY: Milliseconds = 4;

type SimulationOptions = {
  readonly seed: number;
  readonly entries: number;
  readonly upstreamsPerVersion: number;
  readonly duration: Milliseconds;
  readonly policy: DrainPolicy;
};

type SimulatedStream = {
  /** The prompt, which no other stream shares. */
  readonly parts: readonly PromptPart[];
  /** Time that its events still take. */
  left: Milliseconds;
  version: string | undefined;
  tries: number;
};

/** A request that an entry handles. */
type SimulatedTry = {
  readonly entry: SimulatedEntry;
  readonly stream: SimulatedStream;
  readonly excluded: Set<string>;
  runs: number;
  /**
   * Whether some upstream could be sent the stream when this try, or its last
   * run, broke off.
   */
  isContinuable: boolean;
};

/**
 * Simulates entries, control replicas and upstreams of two versions that drain
 * in waves, in virtual time. The directories, exchanges and choices are those
 * of the product.
 *
 * @internal
 */
export class SimulatedDrains {
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #time: VirtualTime;
  readonly #network: SimulatedNetwork;
  readonly #replicas: SimulatedReplicas;
  readonly #fleet: SimulatedFleet;
  readonly #entries: SimulatedEntries;
  readonly #report: DrainReport = {
    sent: 0,
    begun: 0,
    whole: 0,
    resumed: 0,
    continuable: 0,
    wentOn: 0,
    beyondSlots: 0,
    overDrain: 0,
    plainAtDraining: 0,
    plainLate: 0,
    twoVersions: 0,
    acknowledged: 0,
    slowestAcknowledgement: 0,
  };

  constructor(options: SimulationOptions) {
    const { entries, policy, seed, upstreamsPerVersion } = options;
    this.#options = options;
    this.#random = createSeededRandom(seed * 7919 + 3);
    this.#time = new VirtualTime(this.#random);
    this.#network = new SimulatedNetwork(this.#time, this.#random);
    const common = { time: this.#time, network: this.#network };
    this.#replicas = new SimulatedReplicas(REPLICA_COUNT, common);
    this.#fleet = new SimulatedFleet({
      ...common,
      random: this.#random,
      replicas: this.#replicas,
      policy,
      upstreamsPerVersion,
      report: this.#report,
    });
    this.#entries = new SimulatedEntries(entries, {
      ...common,
      replicas: this.#replicas,
      drainTimeout: () =>
        policy.continues === "always" ? Infinity : DRAIN_TIMEOUT,
    });
  }

  run(): DrainReport {
    const { duration, upstreamsPerVersion } = this.#options;
    this.#fleet.start();
    this.#replicas.start();
    this.#entries.start();
    for (const disturbance of planDrains(this.#options)) {
      this.#time.schedule(disturbance.at, () => this.#disturb(disturbance));
    }
    const meanTime = (MIN_STREAM_TIME + MAX_STREAM_TIME) / 2;
    const gap = meanTime / (2 * upstreamsPerVersion * SLOTS * UTILIZATION);
    const next = () => {
      if (this.#time.now < duration) {
        this.#beginStream();
        this.#time.schedule(gap * 2 * this.#random(), next);
      }
    };
    this.#time.schedule(START_TIME, next);
    this.#time.runUntil(duration + END_TIME);
    return this.#report;
  }

  #disturb(disturbance: DrainDisturbance): void {
    const { kind, draws: [first = 0, second = 0] } = disturbance;
    const pick = (count: number) => Math.floor(first * count);
    if (kind < 0.85) {
      this.#fleet.disturb(disturbance);
    } else if (kind < 0.93) {
      this.#replicas.restart(pick(REPLICA_COUNT), 200 + second * 4000);
    } else if (kind < 0.97) {
      this.#replicas.cut(pick(REPLICA_COUNT), 500 + second * 2500);
    } else {
      this.#entries.at(first).cutUntil = this.#time.now + 500 + second * 2500;
    }
  }

  #beginStream(): void {
    this.#report.sent += 1;
    const span = MAX_STREAM_TIME - MIN_STREAM_TIME;
    this.#receive({
      parts: [{ id: `p${this.#report.sent}`, tokens: PROMPT_TOKENS }],
      left: MIN_STREAM_TIME + this.#random() * span,
      version: undefined,
      tries: 0,
    });
  }

  #receive(stream: SimulatedStream): void {
    const entry = this.#entries.at(this.#random());
    entry.requests += 1;
    stream.tries += 1;
    const isContinuable = this.#countResume(stream);
    this.#choose({
      entry,
      stream,
      excluded: new Set(),
      runs: 0,
      isContinuable,
    });
  }

  /** Counts that a stream is resumed; returns whether it could go on. */
  #countResume({ version }: SimulatedStream): boolean {
    const isContinuable = version !== undefined && this.#mayContinue(version);
    this.#report.resumed += version === undefined ? 0 : 1;
    this.#report.continuable += isContinuable ? 1 : 0;
    return isContinuable;
  }

  #choose(attempt: SimulatedTry): void {
    const { entry, stream, excluded } = attempt;
    const { now } = this.#time;
    const isResumed = stream.version !== undefined;
    const { continues } = this.#options.policy;
    const avoided = isResumed ? undefined : this.#listAvoided(entry);
    const choose = (isAdmitted: UpstreamFilter) =>
      entry.balancer.choose(entry.directory.list(), {
        now,
        requiresHeartbeats: true,
        request: {
          service: SERVICE,
          zone: "a",
          parts: stream.parts,
          promptTokens: PROMPT_TOKENS,
          excluded,
          isResumed: isResumed && continues !== "never",
          isAdmitted,
        },
      });
    const chosen = isResumed
      ? choose(({ record }) => record.version === stream.version)
      : choose(({ record }) => avoided?.has(record.version!) !== true) ??
        choose(() => true);
    if (chosen === undefined) {
      this.#giveUp(stream);
      return;
    }
    this.#offer(attempt, chosen);
  }

  /** Versions of which an upstream drains, unless all would be. */
  #listAvoided({ directory }: SimulatedEntry): Set<string> | undefined {
    if (!this.#options.policy.avoidsVersion) {
      return undefined;
    }
    const avoided = new Set<string>();
    for (const { record } of directory.list()) {
      if (record.state === "draining") {
        avoided.add(record.version!);
      }
    }
    return avoided;
  }

  /** Whether some upstream of a version could be sent something now. */
  #mayContinue(version: string): boolean {
    const { now } = this.#time;
    return this.#fleet.upstreams.some(({ record, acknowledgedAt }) =>
      record.version === version &&
      now + MAX_LATENCY < acknowledgedAt + DRAIN_TIMEOUT
    );
  }

  #offer(attempt: SimulatedTry, chosen: ChosenUpstream): void {
    const { entry, stream } = attempt;
    const { id } = chosen.upstream.record;
    const isResumed = stream.version !== undefined;
    entry.balancer.begin(chosen, {
      parts: stream.parts,
      now: this.#time.now,
    });
    const isSlow = this.#random() < SLOW_SHARE;
    const connectTime = isSlow ? this.#random() * MAX_CONNECT_TIME : 0;
    this.#time.schedule(connectTime, () => {
      const known = entry.directory.get(id) ?? chosen.upstream;
      if (!this.#maySend(entry, chosen.upstream, known)) {
        entry.balancer.end(chosen);
        this.#choose(attempt);
        return;
      }
      if (!isResumed && chosen.upstream.record.state !== "ready") {
        this.#report.plainAtDraining += 1;
      }
      this.#time.schedule(this.#network.latency(), () => {
        const upstream = this.#fleet.upstreams.find(({ record }) =>
          record.id === id
        );
        if (upstream === undefined) {
          entry.balancer.end(chosen);
          entry.balancer.pause(id, this.#time.now);
          this.#retry(attempt, { failed: id, hasRun: false });
          return;
        }
        this.#report.wentOn += attempt.isContinuable ? 1 : 0;
        this.#run(attempt, upstream, chosen);
      });
    });
  }

  /** As the product decides when a connection is there. */
  #maySend(
    { balancer }: SimulatedEntry,
    chosen: KnownUpstream,
    known: KnownUpstream,
  ): boolean {
    return chosen.record.state === "ready" ||
      this.#time.now < balancer.drainEndsAt(known);
  }

  #run(
    attempt: SimulatedTry,
    upstream: SimulatedUpstream,
    chosen: ChosenUpstream,
  ): void {
    const { entry, stream } = attempt;
    const { now } = this.#time;
    const { record, acknowledgedAt, runs } = upstream;
    const isResumed = stream.version !== undefined;
    this.#report.overDrain += now > acknowledgedAt + DRAIN_TIMEOUT ? 1 : 0;
    this.#report.plainLate += !isResumed && now > acknowledgedAt + NOTICE_TIME
      ? 1
      : 0;
    this.#report.beyondSlots += runs.size >= SLOTS ? 1 : 0;
    this.#report.begun += isResumed ? 0 : 1;
    this.#report.twoVersions += isResumed && record.version !== stream.version
      ? 1
      : 0;
    stream.version ??= record.version;
    attempt.runs += 1;
    const run = {
      end: (isBroken: boolean) => {
        if (!runs.delete(run)) {
          return;
        }
        entry.balancer.end(chosen);
        stream.left -= this.#time.now - now;
        if (isBroken) {
          this.#retry(attempt, { failed: record.id, hasRun: true });
        } else {
          this.#report.whole += 1;
        }
      },
    };
    runs.add(run);
    const isBroken = this.#random() < BROKEN_SHARE;
    const lasts = isBroken ? stream.left * this.#random() : stream.left;
    this.#time.schedule(lasts, () => run.end(isBroken));
  }

  #retry(
    attempt: SimulatedTry,
    { failed, hasRun }: { failed: string; hasRun: boolean },
  ): void {
    const { entry, excluded, runs, stream } = attempt;
    excluded.add(failed);
    const { retries, requests } = entry;
    const isAllowed = retries + 1 <= RETRY_RATIO * requests + RETRY_SLACK;
    if (hasRun && (runs >= MAX_RUNS || !isAllowed)) {
      this.#giveUp(stream);
      return;
    }
    if (hasRun) {
      entry.retries += 1;
      attempt.isContinuable = this.#countResume(stream);
    }
    this.#choose(attempt);
  }

  /** The caller of a stream that has begun resumes it. */
  #giveUp(stream: SimulatedStream): void {
    if (stream.version !== undefined && stream.tries < MAX_TRIES) {
      this.#time.schedule(RETURN_DELAY, () => this.#receive(stream));
    }
  }
}
