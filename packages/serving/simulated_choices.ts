import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import { AssumedCache } from "./assumed_cache.ts";
import { Backlog } from "./backlog.ts";
import type { ChosenUpstream } from "./chosen_upstream.ts";
import { NoticeThreshold } from "./notice_threshold.ts";
import type { PromptPart } from "./prompt_part.ts";
import { readTime } from "./read_time.ts";
import { UpstreamChoice } from "./upstream_choice.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";

const STEP: Milliseconds = 1;
/** One way between two VMs. */
const LATENCY: Milliseconds = 1;
/** Prompts that take less time to read bring no notice. */
const LEAST_NOTICED: Milliseconds = 10;
const SECOND: Milliseconds = 1000;
/** Time for which a request runs behind its prompt. */
const RUNNING: Milliseconds = 900;
const ENGINE_TOKENS = 580_000;
const SLOTS = 64;
const ZONES = ["a", "b", "c"];

/** Kinds of prompts: part of all requests, shared tokens, own tokens. */
const KINDS = [
  { part: 0.37, things: 660, shared: 13_300, own: 3700 },
  { part: 0.17, things: 290, shared: 6300, own: 2900 },
  { part: 0.46, things: 550, shared: 350, own: 1100 },
];

/** What a simulation is built from. */
type SimulationOptions = {
  readonly entries: number;
  readonly engines: number;
  readonly requestsPerSecond: number;
  /** Pause between two exchanges of an entry with the control replica. */
  readonly exchangePause: Milliseconds;
  /** Which dispatches the other entries are sent a notice of. */
  readonly notices: "none" | "all" | "longest";
  readonly seed: number;
};

/** What callers and entries saw. */
type SimulationResult = {
  /** From dispatch to the end of the prompt's reading, in ms. */
  readonly mean: Milliseconds;
  readonly p99: Milliseconds;
  /** Part of the prompt tokens that engines had to read. */
  readonly readShare: number;
  /** Datagrams received by one entry in a second. */
  readonly datagramsPerSecond: number;
};

/** An engine as it is, whatever entries assume. */
type SimulatedEngine = {
  readonly backlog: Backlog;
  readonly cache: AssumedCache;
};

/** Something that happens at a time, by the millisecond. */
type Agenda = Map<number, (() => void)[]>;

/**
 * Many entries that choose engines by the real decisions, each with its own
 * view: exchanges bring the loads of the others late, notices bring single
 * dispatches at once.
 */
export class SimulatedChoices {
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #directory = new UpstreamDirectory();
  readonly #choices: UpstreamChoice[];
  readonly #thresholds: NoticeThreshold[];
  readonly #engines = new Map<string, SimulatedEngine>();
  /** Loads that each entry reported last, and their sums. */
  readonly #reported: Record<string, { requests: number; backlog: number }>[];
  readonly #totals = new Map<string, { requests: number; backlog: number }>();
  readonly #agenda: Agenda = new Map();
  readonly #took: Milliseconds[] = [];
  #now = 0;
  #notices = 0;
  #tokensRead = 0;
  #tokensAsked = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#choices = Array.from(
      { length: options.entries },
      () => new UpstreamChoice(),
    );
    this.#thresholds = this.#choices.map(() => new NoticeThreshold());
    this.#reported = this.#choices.map(() => ({}));
    for (let made = 0; made < options.engines; made += 1) {
      this.#addEngine(`engine-${made}`, ZONES[made % ZONES.length]!);
    }
  }

  /** Runs for a time; what the first third brought is left out. */
  run(seconds: number): SimulationResult {
    const { entries, requestsPerSecond, exchangePause } = this.#options;
    const until = seconds * SECOND;
    let owed = 0;
    for (; this.#now < until; this.#now += STEP) {
      if (this.#now === Math.floor(until / 3)) {
        this.#reset();
      }
      for (const act of this.#agenda.get(this.#now) ?? []) {
        act();
      }
      this.#agenda.delete(this.#now);
      for (let entry = 0; entry < entries; entry += 1) {
        const phase = Math.floor(entry * exchangePause / entries);
        if (this.#now % exchangePause === phase) {
          this.#exchange(entry);
        }
      }
      owed += requestsPerSecond * STEP / SECOND;
      while (owed >= 1 || (owed > 0 && this.#random() < owed)) {
        owed -= 1;
        this.#dispatch(Math.floor(this.#random() * entries));
      }
    }
    return this.#describe(until * 2 / 3 / SECOND);
  }

  #describe(seconds: number): SimulationResult {
    const sorted = [...this.#took].sort((left, right) => left - right);
    const sum = sorted.reduce((total, took) => total + took, 0);
    return {
      mean: sum / sorted.length,
      p99: sorted[Math.floor(sorted.length * 0.99)]!,
      readShare: this.#tokensRead / this.#tokensAsked,
      datagramsPerSecond: this.#notices / seconds,
    };
  }

  #reset(): void {
    this.#took.length = 0;
    this.#notices = 0;
    this.#tokensRead = 0;
    this.#tokensAsked = 0;
  }

  #addEngine(id: string, zone: string): void {
    this.#engines.set(id, {
      backlog: new Backlog(),
      cache: new AssumedCache(),
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
    const choice = this.#choices[entry]!;
    const before = this.#reported[entry]!;
    const loads = choice.loads(this.#now);
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
    choice.learnOthers(others, this.#now);
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
    const choice = this.#choices[entry]!;
    const parts = this.#drawPrompt();
    const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const chosen = choice.choose(this.#directory.list(), {
      now: this.#now,
      trusts: false,
      request: {
        service: "writers",
        zone: ZONES[entry % ZONES.length]!,
        parts,
        promptTokens,
        excluded: new Set(),
      },
    })!;
    const notice = choice.begin(chosen, { parts, now: this.#now });
    this.#read(chosen, parts);
    this.#tokensAsked += promptTokens;
    this.#at(this.#now + RUNNING, () => choice.end(chosen));
    if (!this.#isNoticed(entry, notice.readTime)) {
      return;
    }
    this.#notices += 1;
    this.#at(this.#now + LATENCY, () => {
      for (const [place, other] of this.#choices.entries()) {
        if (place !== entry) {
          other.learnDispatch(notice, this.#now);
          this.#thresholds[place]!.noteReceived(this.#now);
        }
      }
    });
  }

  #isNoticed(entry: number, readTime: Milliseconds): boolean {
    const { notices } = this.#options;
    return notices === "longest"
      ? this.#thresholds[entry]!.admits(readTime, this.#now)
      : notices === "all" && readTime >= LEAST_NOTICED;
  }

  /** Reads a prompt where it was sent, behind what waits there. */
  #read(chosen: ChosenUpstream, parts: readonly PromptPart[]): void {
    const engine = this.#engines.get(chosen.upstream.record.id)!;
    const cached = engine.cache.countCached(parts, ENGINE_TOKENS);
    const total = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const uncached = total - cached;
    engine.backlog.add(readTime(uncached, cached), this.#now);
    engine.cache.addTokens(uncached);
    const took = engine.backlog.left(this.#now);
    for (const { id } of parts) {
      engine.cache.notePart(id, this.#now + took);
    }
    this.#tokensRead += uncached;
    this.#took.push(took);
  }

  /** A shared part that is drawn again, and one of the request's own. */
  #drawPrompt(): PromptPart[] {
    let draw = this.#random();
    const kind = KINDS.find(({ part }) => (draw -= part) < 0) ?? KINDS[0]!;
    const thing = Math.floor(this.#random() ** 1.5 * kind.things);
    const own = Math.round(kind.own * (0.3 + 1.4 * this.#random() ** 2 * 1.5));
    return [
      { id: `${kind.shared}-${thing}`, tokens: kind.shared },
      { id: `own-${this.#took.length}-${this.#random()}`, tokens: own },
    ];
  }

  #at(time: Milliseconds, act: () => void): void {
    const acts = this.#agenda.get(time) ?? [];
    acts.push(act);
    this.#agenda.set(time, acts);
  }
}
