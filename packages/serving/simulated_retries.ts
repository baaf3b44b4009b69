import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import type { RetryBudgetSettings } from "./retry_budget_settings.ts";

const STEP: Milliseconds = 20;
const DURATION: Milliseconds = 60_000;
/** Time after a lost contact after which the leader lists an entry no more. */
const UNRESPONSIVE_TIMEOUT: Milliseconds = 1200;
/** Time for which the leader counts entries that fell silent. */
const RETENTION: Milliseconds = 30_000;
/** Retries that one request leads to while upstreams reject all. */
const MAX_RETRIES = 2;
/** How much more often callers come during a disruption. */
const DISRUPTION_LOAD = 3;

/** What a control replica tells an entry. @internal */
export type SimulatedContact = {
  /** Entries that callers may be sent to. */
  readonly listed: number;
  /** Entries that may use a share, also silent ones. */
  readonly sharing: number;
};

/** The decisions of one process of an entry, on its own clock. @internal */
export type SimulatedRetries = {
  recordContact(contact: SimulatedContact, now: Milliseconds): void;
  recordRequest(now: Milliseconds): void;
  tryConsume(now: Milliseconds): boolean;
};

type Scenario = {
  readonly seed: number;
  readonly entryCount: number;
  readonly requestsPerSecond: number;
  readonly bounds: RetryBudgetSettings;
  readonly start: (process: {
    readonly startedAt: Milliseconds;
    /** Whether the process starts with the whole system. */
    readonly isFresh: boolean;
    readonly bounds: () => RetryBudgetSettings;
  }) => SimulatedRetries;
};

type Period = { readonly from: Milliseconds; readonly to: Milliseconds };

type SimulatedEntry = {
  /** How far its clock is ahead. */
  readonly clockAhead: Milliseconds;
  /** When it doesn't reach the control replicas. */
  readonly cuts: readonly Period[];
  readonly restarts: readonly Period[];
  readonly joinsAt: Milliseconds;
  readonly reloadsAt: Milliseconds;
  retries: SimulatedRetries | undefined;
  nextContactAt: Milliseconds;
};

/** What the entries did together. @internal */
type SimulatedRetryOutcome = {
  /** Largest ratio of sent to allowed retries in a window. */
  readonly utilization: number;
  readonly sent: number;
  readonly wanted: number;
};

/**
 * Plays entries with clocks out of phase whose upstreams reject every request
 * during disruptions. Entries start, restart, lose the control replicas, and
 * apply changed bounds one after the other.
 *
 * @internal
 */
export function simulateRetries(scenario: Scenario): SimulatedRetryOutcome {
  return new RetrySimulation(scenario).run();
}

class RetrySimulation {
  readonly #scenario: Scenario;
  readonly #random: Random;
  readonly #entries: SimulatedEntry[] = [];
  readonly #disruptions: readonly Period[];
  readonly #replicaRestarts: readonly Milliseconds[];
  readonly #changeAt: Milliseconds;
  readonly #changed: RetryBudgetSettings;
  /** When the leader last heard of each entry. */
  readonly #heardAt = new Map<SimulatedEntry, Milliseconds>();
  readonly #requests: Milliseconds[] = [];
  readonly #retries: Milliseconds[] = [];
  #wanted = 0;

  constructor(scenario: Scenario) {
    this.#scenario = scenario;
    this.#random = createSeededRandom(scenario.seed);
    this.#disruptions = this.#drawDisruptions();
    this.#replicaRestarts = this.#random() < 0.5
      ? [this.#between(15_000, DURATION)]
      : [];
    this.#changeAt = this.#random() < 0.3
      ? this.#between(20_000, 40_000)
      : Infinity;
    const { bounds } = scenario;
    this.#changed = {
      ...bounds,
      minRetries: Math.round(bounds.minRetries / 2),
    };
    const cutShare = this.#random() < 0.5 ? 0.6 * this.#random() : 0;
    const restartShare = this.#random() < 0.5 ? this.#random() : 0;
    const cut = this.#drawPeriod(500, 25_000);
    const restart = this.#between(12_000, 50_000);
    for (let index = 0; index < scenario.entryCount; index += 1) {
      this.#entries.push({
        clockAhead: this.#between(0, 20_000),
        cuts: this.#random() < cutShare ? [cut] : [],
        restarts: this.#random() < restartShare
          ? [this.#drawRestart(restart)]
          : [],
        joinsAt: this.#random() < 0.1 ? this.#between(0, 40_000) : 0,
        reloadsAt: this.#changeAt + this.#between(0, 1000),
        retries: undefined,
        nextContactAt: 0,
      });
    }
  }

  run(): SimulatedRetryOutcome {
    for (let now = 0; now < DURATION; now += STEP) {
      if (this.#replicaRestarts.some((at) => at >= now && at < now + STEP)) {
        this.#heardAt.clear();
      }
      for (const entry of this.#entries) {
        this.#updateProcess(entry, now);
        this.#contact(entry, now);
      }
      this.#sendRequests(now);
    }
    return {
      utilization: this.#maxUtilization(),
      sent: this.#retries.length,
      wanted: this.#wanted,
    };
  }

  #drawDisruptions(): Period[] {
    const disruptions: Period[] = [];
    let from = this.#between(1000, 14_000);
    while (from < DURATION) {
      disruptions.push({ from, to: from + this.#between(200, 1500) });
      from += this.#between(8500, 11_000);
    }
    return disruptions;
  }

  #drawPeriod(shortest: Milliseconds, longest: Milliseconds): Period {
    const from = this.#between(5000, DURATION);
    return { from, to: from + this.#between(shortest, longest) };
  }

  #drawRestart(around: Milliseconds): Period {
    const from = around + this.#between(0, 3000);
    return { from, to: from + this.#between(200, 2000) };
  }

  #updateProcess(entry: SimulatedEntry, now: Milliseconds): void {
    if (now < entry.joinsAt || isWithin(entry.restarts, now)) {
      entry.retries = undefined;
      return;
    }
    entry.retries ??= this.#scenario.start({
      startedAt: now + entry.clockAhead,
      isFresh: now === 0,
      bounds: () => this.#boundsAt(entry),
    });
  }

  #boundsAt(entry: SimulatedEntry): RetryBudgetSettings {
    return this.#now >= entry.reloadsAt ? this.#changed : this.#scenario.bounds;
  }

  #now: Milliseconds = 0;

  #contact(entry: SimulatedEntry, now: Milliseconds): void {
    this.#now = now;
    const isOff = entry.retries === undefined || isWithin(entry.cuts, now);
    if (isOff || now < entry.nextContactAt) {
      return;
    }
    entry.nextContactAt = now + this.#between(100, 400);
    this.#heardAt.set(entry, now);
    let listed = 0;
    let sharing = 0;
    for (const at of this.#heardAt.values()) {
      listed += now - at < UNRESPONSIVE_TIMEOUT ? 1 : 0;
      sharing += now - at < RETENTION ? 1 : 0;
    }
    const contact = { listed, sharing };
    entry.retries!.recordContact(contact, now + entry.clockAhead);
  }

  #sendRequests(now: Milliseconds): void {
    const isDisrupted = isWithin(this.#disruptions, now);
    const { requestsPerSecond } = this.#scenario;
    let expected = requestsPerSecond * STEP / 1000 *
      (isDisrupted ? DISRUPTION_LOAD : 1);
    const running = this.#entries.filter(({ retries }) =>
      retries !== undefined
    );
    for (; this.#random() < expected && running.length > 0; expected -= 1) {
      const entry = running[Math.floor(this.#random() * running.length)]!;
      const local = now + entry.clockAhead;
      this.#requests.push(now);
      entry.retries!.recordRequest(local);
      for (let count = 0; isDisrupted && count < MAX_RETRIES; count += 1) {
        this.#wanted += 1;
        if (!entry.retries!.tryConsume(local)) {
          break;
        }
        this.#retries.push(now);
      }
    }
  }

  /** Windows that begin with a retry hold the most. */
  #maxUtilization(): number {
    const { window } = this.#scenario.bounds;
    let maximum = 0;
    let end = 0;
    for (const [index, from] of this.#retries.entries()) {
      while (
        end < this.#retries.length && this.#retries[end]! < from + window
      ) {
        end += 1;
      }
      const sent = end - index;
      maximum = Math.max(maximum, sent / this.#allowedFrom(from));
    }
    return maximum;
  }

  /**
   * Retries allowed in the window from a time: the requests of that window, the
   * one before or the one half a window before count, whichever has most.
   */
  #allowedFrom(from: Milliseconds): number {
    const { window, ratio, minRetries } = this.#scenario.bounds;
    const counts = [0, window / 2, window].map((shift) =>
      countWithin(this.#requests, from - shift, from - shift + window)
    );
    const isChanged = from >= this.#changeAt + 1000;
    return ratio * Math.max(...counts) +
      (isChanged ? this.#changed.minRetries : minRetries);
  }

  #between(least: number, most: number): number {
    return least + this.#random() * (most - least);
  }
}

function isWithin(periods: readonly Period[], now: Milliseconds): boolean {
  return periods.some(({ from, to }) => now >= from && now < to);
}

/** Counts sorted times in a half-open period. */
function countWithin(
  times: readonly Milliseconds[],
  from: Milliseconds,
  to: Milliseconds,
): number {
  return firstAtOrAfter(times, to) - firstAtOrAfter(times, from);
}

function firstAtOrAfter(
  times: readonly Milliseconds[],
  time: Milliseconds,
): number {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (times[middle]! < time) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
