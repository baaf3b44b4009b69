import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import { DepartureDeadline } from "./departure_deadline.ts";

const ENTRY_COUNT = 11;
const CALLER_COUNT = 66;
const GRACE_PERIOD: Milliseconds = 8000;
const DOWNTIME: Milliseconds = 600;
const SIMULATED_TIME: Milliseconds = 120_000;
/** Time between two stops, which is shorter than a grace period. */
const STOP_INTERVAL: Milliseconds = 2500;
/** Time after which callers no longer find an entry that is shutting down. */
const DISCOVERY_TIME: Milliseconds = 5000;
/** Time that a refused caller waits, and until it has connected. */
const RETRY_DELAY: Milliseconds = 120;
const MAX_TRIES = 4;

/** A kind of request, with the durations of its runs. */
export type SimulatedKind = {
  readonly name: string;
  readonly timeout: Milliseconds;
  readonly perSecond: number;
  readonly drawDuration: (random: Random) => Milliseconds;
};

/** Decides whether an entry that is shutting down accepts a request. */
export type StopPolicy = (
  departure: DepartureDeadline,
  request: { readonly deadline: Milliseconds },
) => boolean;

/** What the callers of one kind of request got. */
export type StopOutcome = {
  requests: number;
  tries: number;
  whole: number;
  /** Accepted before the signal and longer than the grace period. */
  cutBeforeSignal: number;
  acceptedAfterSignal: number;
  cutAfterSignal: number;
  /** Tries refused although the run would have completed. */
  needlessRefusals: number;
  /** Time from the first try to the one that was accepted, summed up. */
  delay: Milliseconds;
};

type SimulatedEntry = {
  departure: DepartureDeadline;
  startsAt: Milliseconds;
  stopsAt: Milliseconds;
};

type PendingRun = {
  readonly at: Milliseconds;
  readonly finish: () => void;
};

/**
 * Simulates entries that are stopped and started again, several at a time, and
 * callers that use their connection to an entry until it is gone.
 *
 * @param options.slowdown How many times longer runs take that begin while
 * entries are stopped.
 */
export function simulateStops(
  seed: number,
  options: {
    kinds: readonly SimulatedKind[];
    policy: StopPolicy;
    slowdown?: number;
  },
): Map<string, StopOutcome> {
  return new StopSimulation(seed, options).run();
}

class StopSimulation {
  /** Determines the requests, which are the same for each policy. */
  readonly #arrivals: Random;
  /** Determines which entries callers choose. */
  readonly #choices: Random;
  readonly #options: Parameters<typeof simulateStops>[1];
  readonly #entries: SimulatedEntry[] = [];
  /** Index of the entry that each caller is connected to. */
  readonly #connections: number[];
  readonly #pending: PendingRun[] = [];
  readonly #outcomes = new Map<string, StopOutcome>();
  #now: Milliseconds = 0;
  #nextStop: Milliseconds = 20_000;
  #lastStopped = 0;

  constructor(
    seed: number,
    options: Parameters<typeof simulateStops>[1],
  ) {
    this.#arrivals = createSeededRandom(Math.imul(2 * seed + 1, 0x9e3779b1));
    this.#choices = createSeededRandom(Math.imul(2 * seed + 2, 0x9e3779b1));
    this.#options = options;
    for (let index = 0; index < ENTRY_COUNT; index += 1) {
      this.#entries.push(this.#startEntry(0));
    }
    this.#connections = Array.from(
      { length: CALLER_COUNT },
      () => Math.floor(this.#choices() * ENTRY_COUNT),
    );
    for (const { name } of options.kinds) {
      this.#outcomes.set(name, {
        requests: 0,
        tries: 0,
        whole: 0,
        cutBeforeSignal: 0,
        acceptedAfterSignal: 0,
        cutAfterSignal: 0,
        needlessRefusals: 0,
        delay: 0,
      });
    }
  }

  run(): Map<string, StopOutcome> {
    const { kinds } = this.#options;
    for (const kind of kinds) {
      this.#schedule(this.#untilNext(kind), () => this.#arrive(kind));
    }
    for (;;) {
      const next = this.#pending.shift();
      if (next === undefined) {
        return this.#outcomes;
      }
      this.#stopEntries(next.at);
      this.#now = next.at;
      next.finish();
    }
  }

  #startEntry(startsAt: Milliseconds): SimulatedEntry {
    return {
      departure: new DepartureDeadline({ steady: () => this.#now }),
      startsAt,
      stopsAt: Infinity,
    };
  }

  #schedule(delay: Milliseconds, finish: () => void): void {
    const run = { at: this.#now + delay, finish };
    let index = this.#pending.length;
    while (index > 0 && this.#pending[index - 1]!.at > run.at) {
      index -= 1;
    }
    this.#pending.splice(index, 0, run);
  }

  #untilNext({ perSecond }: SimulatedKind): Milliseconds {
    return -Math.log(1 - this.#arrivals()) * 1000 / perSecond;
  }

  /** Stops one entry after the other, and restarts those that have exited. */
  #stopEntries(until: Milliseconds): void {
    while (this.#nextStop <= until) {
      this.#now = this.#nextStop;
      this.#lastStopped = (this.#lastStopped + 1) % ENTRY_COUNT;
      const entry = this.#entries[this.#lastStopped]!;
      entry.stopsAt = this.#now;
      entry.departure.begin(GRACE_PERIOD);
      this.#nextStop += STOP_INTERVAL * (0.5 + this.#choices());
    }
    for (const [index, { stopsAt }] of this.#entries.entries()) {
      const startsAt = stopsAt + GRACE_PERIOD + DOWNTIME;
      if (startsAt <= until) {
        this.#entries[index] = this.#startEntry(startsAt);
      }
    }
  }

  #arrive(kind: SimulatedKind): void {
    if (this.#now >= SIMULATED_TIME) {
      return;
    }
    this.#outcomes.get(kind.name)!.requests += 1;
    const duration = kind.drawDuration(this.#arrivals);
    const caller = Math.floor(this.#arrivals() * CALLER_COUNT);
    this.#try(kind, { caller, duration, tries: 1, arrivedAt: this.#now });
    this.#schedule(this.#untilNext(kind), () => this.#arrive(kind));
  }

  #try(
    kind: SimulatedKind,
    request: {
      caller: number;
      duration: Milliseconds;
      tries: number;
      arrivedAt: Milliseconds;
    },
  ): void {
    const outcome = this.#outcomes.get(kind.name)!;
    outcome.tries += 1;
    const entry = this.#connect(request.caller);
    const { departure } = entry;
    const deadline = this.#now + kind.timeout;
    const took = Math.min(request.duration * this.#slowdown(), kind.timeout);
    const isLeaving = departure.hasBegun;
    const endsInTime = this.#now + took <= departure.endsAt;
    if (isLeaving && !this.#options.policy(departure, { deadline })) {
      outcome.needlessRefusals += endsInTime ? 1 : 0;
      this.#connections[request.caller] = this.#pickEntry();
      if (request.tries < MAX_TRIES) {
        this.#schedule(
          RETRY_DELAY,
          () => this.#try(kind, { ...request, tries: request.tries + 1 }),
        );
      }
      return;
    }
    outcome.acceptedAfterSignal += isLeaving ? 1 : 0;
    outcome.delay += this.#now - request.arrivedAt;
    this.#schedule(took, () => {
      const isWhole = this.#now <= departure.endsAt;
      outcome.whole += isWhole ? 1 : 0;
      outcome.cutAfterSignal += !isWhole && isLeaving ? 1 : 0;
      outcome.cutBeforeSignal += !isWhole && !isLeaving ? 1 : 0;
    });
  }

  #slowdown(): number {
    const isStopping = this.#entries.some(({ departure }) =>
      departure.hasBegun
    );
    return isStopping ? this.#options.slowdown ?? 1 : 1;
  }

  #connect(caller: number): SimulatedEntry {
    const entry = this.#entries[this.#connections[caller]!]!;
    const isUp = entry.startsAt <= this.#now &&
      this.#now < entry.stopsAt + GRACE_PERIOD;
    if (!isUp) {
      this.#connections[caller] = this.#pickEntry();
    }
    return this.#entries[this.#connections[caller]!]!;
  }

  /** Picks an entry from a list that doesn't know the latest stops. */
  #pickEntry(): number {
    const listed = [...this.#entries.keys()].filter((index) => {
      const { startsAt, stopsAt } = this.#entries[index]!;
      return startsAt <= this.#now && this.#now < stopsAt + DISCOVERY_TIME;
    });
    return listed[Math.floor(this.#choices() * listed.length)]!;
  }
}

/** Kinds of requests, some of which may outlast the grace period. */
export const simulatedKinds: readonly SimulatedKind[] = [
  {
    name: "long streams",
    timeout: 15_000,
    perSecond: 30,
    drawDuration: (random) => 1800 * Math.exp(0.44 * normal(random)),
  },
  {
    name: "calls with a long timeout",
    timeout: 12_000,
    perSecond: 30,
    drawDuration: (random) => 60 * Math.exp(0.5 * normal(random)),
  },
  {
    name: "calls of which one in a hundred is long",
    timeout: 12_000,
    perSecond: 30,
    drawDuration: (random) => random() < 0.01 ? 3000 + 3000 * random() : 300,
  },
  {
    name: "calls with a long tail",
    timeout: 12_000,
    perSecond: 30,
    drawDuration: (random) =>
      random() < 0.25 ? 400 - 1000 * Math.log(1 - random()) : 50,
  },
  {
    name: "short streams",
    timeout: 3000,
    perSecond: 60,
    drawDuration: (random) => 60 * Math.exp(1.2 * normal(random)),
  },
];

function normal(random: Random): number {
  return Math.sqrt(-2 * Math.log(1 - random())) *
    Math.cos(2 * Math.PI * random());
}
