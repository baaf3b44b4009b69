import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import { RestDisturbances } from "./rest_disturbances.ts";
import { RestObservations } from "./rest_observations.ts";
import type { RestOutcome } from "./rest_outcome.ts";
import type { RestPolicy } from "./rest_policy.ts";
import { SimulatedRestEntry } from "./simulated_rest_entry.ts";
import { SimulatedRestUpstreams } from "./simulated_rest_upstreams.ts";
import { VirtualTime } from "./virtual_time.ts";

const SERVICE = "desk";
const SLOTS = 2;
/** Requests that an upstream holds at once; it rejects more. */
const CAPACITY = 2 * SLOTS;
const MEAN_SERVICE_TIME: Milliseconds = 80;
/** Latency of a message, at most. */
const MAX_LATENCY: Milliseconds = 4;
/** Share of the requests whose connection opens late, and by how much. */
const SLOW_SHARE = 0.02;
const MAX_CONNECT_TIME: Milliseconds = 300;
const HEARTBEAT_INTERVAL: Milliseconds = 1000;
/** Time for which a caller wants an answer, and a request may be held. */
const CALLER_TIME: Milliseconds = 3000;
const HOLD_TIME: Milliseconds = 100;
const POLL_INTERVAL: Milliseconds = 10;
const MAX_OFFERS = 3;
const MAX_OFFERS_AFTER_REJECTIONS = 6;
const RETRY_RATIO = 0.2;
/** A caller that is told to return waits up to this share of its time left. */
const HONOURED_SHARE = 1 / 3;
const DEFAULT_RETRY_AFTER: Milliseconds = 150;
/** Interval at which the capacity of willing upstreams is sampled. */
const SAMPLE_INTERVAL: Milliseconds = 20;

type SimulationOptions = {
  readonly entries: number;
  readonly upstreams: number;
  /** Requests per second of all callers together. */
  readonly rate: number;
  readonly seed: number;
  readonly duration: Milliseconds;
  /** Mean time between two disturbances. */
  readonly disturbanceInterval: Milliseconds;
  /** Share of the disturbances in which rejections ask for rest. */
  readonly restShare: number;
  /** Retries that don't depend on requests, of all entries together. */
  readonly retrySlack: number;
  readonly policy: RestPolicy;
};

/** A request of a caller, over all its returns. */
type SimulatedRequest = {
  readonly sentAt: Milliseconds;
  arrivedAt: Milliseconds;
  readonly excluded: Set<string>;
  offers: number;
};

/**
 * Simulates entries and upstreams that reject requests, with or without asking
 * for rest, in virtual time. The decisions are those of the product.
 */
export class SimulatedRests {
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #time: VirtualTime;
  readonly #entries: SimulatedRestEntry[] = [];
  readonly #upstreams: SimulatedRestUpstreams;
  readonly #disturbances: RestDisturbances;
  readonly #observations = new RestObservations();
  #sent = 0;
  #served = 0;
  #servable = 0;
  #demanded = 0;
  #rejections = 0;
  #notices = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed * 7919 + 3);
    this.#time = new VirtualTime(this.#random);
    this.#upstreams = new SimulatedRestUpstreams(options.upstreams);
    for (let index = 0; index < options.entries; index += 1) {
      const { policy } = options;
      this.#entries.push(
        new SimulatedRestEntry(`e${index}`, {
          policy,
          slots: SLOTS,
          random: this.#random,
        }),
      );
    }
    this.#disturbances = new RestDisturbances({
      time: this.#time,
      upstreams: this.#upstreams,
      entries: this.#entries,
      random: createSeededRandom(options.seed * 104_729 + 11),
      interval: options.disturbanceInterval,
      restShare: options.restShare,
    });
  }

  run(): RestOutcome {
    const { duration, rate } = this.#options;
    this.#time.repeat(HEARTBEAT_INTERVAL, () => this.#heartbeat());
    this.#disturbances.start();
    this.#time.repeat(SAMPLE_INTERVAL, () => this.#sample());
    this.#heartbeat();
    const next = () => {
      this.#receive();
      const gap = 1000 / (rate * this.#disturbances.surge) * 2 * this.#random();
      this.#time.schedule(gap, next);
    };
    next();
    this.#time.runUntil(duration);
    const { rests, broken } = this.#observations.summarize();
    return {
      rests,
      broken,
      rejections: this.#rejections,
      served: this.#served / this.#sent,
      servable: this.#servable / this.#demanded,
      notices: this.#notices,
    };
  }

  #heartbeat(): void {
    const { now } = this.#time;
    for (const entry of this.#entries) {
      for (const upstream of entry.isListed ? this.#upstreams.listUp() : []) {
        entry.receiveHeartbeat(upstream, now);
      }
      entry.stated.expire(now);
    }
  }

  #sample(): void {
    const { now } = this.#time;
    const willing = this.#upstreams.listUp().filter(({ rejectsUntil }) =>
      rejectsUntil <= now
    );
    const capacity = willing.length * SLOTS * 1000 / MEAN_SERVICE_TIME;
    const demand = this.#options.rate * this.#disturbances.surge;
    this.#demanded += demand;
    this.#servable += Math.min(demand, capacity);
  }

  #pick<Item>(items: readonly Item[]): Item {
    return items[Math.floor(this.#random() * items.length)]!;
  }

  #receive(): void {
    this.#sent += 1;
    const { now } = this.#time;
    this.#accept({
      sentAt: now,
      arrivedAt: now,
      excluded: new Set(),
      offers: 0,
    });
  }

  #accept(request: SimulatedRequest): void {
    const entry = this.#pick(this.#entries);
    entry.requests += 1;
    request.arrivedAt = this.#time.now;
    request.excluded.clear();
    request.offers = 0;
    this.#choose(entry, request);
  }

  #choose(entry: SimulatedRestEntry, request: SimulatedRequest): void {
    const { now } = this.#time;
    const options = this.#choiceOptions(request, !this.#hasRetry(entry));
    const chosen = entry.balancer.choose(entry.directory.list(), options);
    if (chosen !== undefined) {
      this.#send(entry, request, chosen);
      return;
    }
    const { availableAt } = entry.balancer.availability(
      entry.directory.list(),
      options,
    );
    const holdUntil = request.arrivedAt +
      (this.#options.policy.holds ? HOLD_TIME : 0);
    if (now < holdUntil && availableAt <= holdUntil) {
      this.#time.schedule(POLL_INTERVAL, () => this.#choose(entry, request));
    } else {
      this.#refuse(entry, request);
    }
  }

  #choiceOptions(
    { excluded }: { readonly excluded: ReadonlySet<string> },
    isLastTry = false,
  ) {
    return {
      now: this.#time.now,
      requiresHeartbeats: true,
      request: {
        service: SERVICE,
        zone: "a",
        parts: [],
        promptTokens: 0,
        excluded,
        isLastTry,
      },
    };
  }

  #refuse(entry: SimulatedRestEntry, request: SimulatedRequest): void {
    const { now } = this.#time;
    const { availableAt, resting } = entry.balancer.availability(
      entry.directory.list(),
      this.#choiceOptions({ excluded: new Set() }),
    );
    const delay = resting > 0 && availableAt > now
      ? entry.returnTimes.assign({ availableIn: availableAt - now }, now)
      : DEFAULT_RETRY_AFTER;
    const left = request.sentAt + CALLER_TIME - now;
    if (delay <= left * HONOURED_SHARE) {
      this.#time.schedule(delay, () => this.#accept(request));
    }
  }

  #send(
    entry: SimulatedRestEntry,
    request: SimulatedRequest,
    chosen: ChosenUpstream,
  ): void {
    const { id } = chosen.upstream.record;
    const sentAt = this.#time.now;
    if (request.offers > 0) {
      if (!this.#hasRetry(entry)) {
        this.#refuse(entry, request);
        return;
      }
      entry.retries += 1;
    }
    entry.balancer.begin(chosen, { parts: [], now: sentAt });
    const endTrial = this.#options.policy.returnsGradually
      ? entry.stated.trackTrial(id)
      : () => {};
    const isSlow = this.#random() < SLOW_SHARE;
    const connectTime = isSlow ? this.#random() * MAX_CONNECT_TIME : 0;
    this.#time.schedule(connectTime, () => {
      if (
        this.#options.policy.heeds && entry.stated.isResting(id, this.#time.now)
      ) {
        endTrial();
        entry.balancer.end(chosen);
        this.#choose(entry, request);
        return;
      }
      request.offers += 1;
      this.#time.schedule(
        this.#latency(),
        () => this.#arrive({ entry, request, chosen, sentAt, endTrial }),
      );
    });
  }

  #hasRetry({ retries, requests }: SimulatedRestEntry): boolean {
    const slack = this.#options.retrySlack / this.#entries.length;
    return retries + 1 <= RETRY_RATIO * requests + slack;
  }

  #arrive(
    attempt: {
      readonly entry: SimulatedRestEntry;
      readonly request: SimulatedRequest;
      readonly chosen: ChosenUpstream;
      readonly sentAt: Milliseconds;
      readonly endTrial: () => void;
    },
  ): void {
    const { entry, request, chosen, sentAt, endTrial } = attempt;
    const { id } = chosen.upstream.record;
    const { now } = this.#time;
    const upstream = this.#upstreams.find(id);
    const finish = (delay: Milliseconds, then: () => void) =>
      this.#time.schedule(delay, () => {
        endTrial();
        entry.balancer.end(chosen);
        then();
      });
    if (upstream === undefined || !upstream.isUp) {
      finish(this.#latency(), () => {
        entry.balancer.pause(id, this.#time.now);
        this.#retry(entry, request, { id, wasRejected: false });
      });
      return;
    }
    const pair = { upstream: id, entry: entry.name };
    this.#observations.recordReceived(pair, now);
    const rejects = upstream.rejectsUntil > now;
    if (rejects || upstream.inFlight >= CAPACITY) {
      const rest = rejects ? upstream.rest : 0;
      this.#rejections += 1;
      if (rest > 0) {
        this.#observations.recordRest(pair, { at: now, duration: rest });
      }
      finish(this.#latency(), () => {
        this.#learnRejection(entry, id, rest);
        this.#retry(entry, request, { id, wasRejected: true });
      });
      return;
    }
    upstream.inFlight += 1;
    const queued = Math.max(0, upstream.inFlight - SLOTS) / SLOTS;
    const took = MEAN_SERVICE_TIME * (0.5 + this.#random() + queued);
    const isCurrent = () => upstream.id === id && upstream.isUp;
    finish(took + this.#latency(), () => {
      if (!isCurrent()) {
        entry.balancer.pause(id, this.#time.now);
        this.#retry(entry, request, { id, wasRejected: false });
        return;
      }
      upstream.inFlight -= 1;
      entry.stated.recordAcceptance(id, sentAt);
      entry.returnTimes.recordServed(this.#time.now);
      this.#served += this.#time.now <= request.sentAt + CALLER_TIME ? 1 : 0;
    });
  }

  #learnRejection(
    entry: SimulatedRestEntry,
    id: string,
    rest: Milliseconds,
  ): void {
    const { now } = this.#time;
    entry.stated.recordRejection(id, { rest, now });
    if (
      !this.#options.policy.announces || !entry.reports.admit(id, now)
    ) {
      return;
    }
    for (const other of this.#entries) {
      if (other !== entry) {
        this.#notices += 1;
        this.#time.schedule(this.#latency(), () => {
          other.reports.record(id, this.#time.now);
          other.balancer.avoid(id, this.#time.now);
        });
      }
    }
  }

  #retry(
    entry: SimulatedRestEntry,
    request: SimulatedRequest,
    { id, wasRejected }: { id: string; wasRejected: boolean },
  ): void {
    request.excluded.add(id);
    const isOver = request.offers >= MAX_OFFERS && !(
      wasRejected && request.offers < MAX_OFFERS_AFTER_REJECTIONS &&
      entry.balancer.availability(
          entry.directory.list(),
          this.#choiceOptions(request),
        ).willing > 0
    );
    if (this.#time.now > request.sentAt + CALLER_TIME) {
      return;
    }
    if (isOver) {
      this.#refuse(entry, request);
    } else {
      this.#choose(entry, request);
    }
  }

  #latency(): Milliseconds {
    return 0.5 + this.#random() * MAX_LATENCY;
  }
}
