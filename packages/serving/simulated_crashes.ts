import { createSeededRandom, type Milliseconds } from "@heroncleat/base";
import { CrashBook } from "./crash_book.ts";
import { CrashStanding } from "./crash_standing.ts";
import { RevisionCounter } from "./revision_counter.ts";

const ZONES = 4;
const UPSTREAMS = 48;
const ENTRIES = 8;
const REPLICAS = 4;
/** Pauses between exchanges of an entry with the primary, and with others. */
const WHOLE_PAUSE: Milliseconds = 150;
const SHORT_PAUSE: Milliseconds = 400;
/** Longest way of a message, and longest time until an end is noticed. */
const MOST_DELAY: Milliseconds = 25;
const MOST_UNNOTICED: Milliseconds = 60;
const UPSTREAM_DOWNTIME: Milliseconds = 4000;
const PROCESS_DOWNTIME: Milliseconds = 1000;
/** Time in which all entries must know of the third end. */
const TOLD_WITHIN: Milliseconds = 3000;
const CRASHES_BORNE = 3;

/** A request that is asked again and again by its caller or callers. */
type RepeatedRequest = {
  readonly name: string;
  /** Callers that ask it at once. */
  readonly callers: number;
  /** Longest time that its answer takes. */
  readonly lasts: Milliseconds;
  /** Longest pause of a caller between two of them. */
  readonly pause: Milliseconds;
  readonly endsUpstreams: boolean;
};

/** What is played. */
export type CrashScenario = {
  readonly seed: number;
  readonly duration: Milliseconds;
  readonly requests: readonly RepeatedRequest[];
  /** Part of a zone's upstreams that end with each wave; 0 for no waves. */
  readonly waveShare: number;
  /** Time over which the ends of one wave are spread. */
  readonly waveSpread: Milliseconds;
  /** Whether entries and replicas are killed, and replicas wiped. */
  readonly losesProcesses: boolean;
};

/** What was seen. */
export type CrashOutcome = {
  /** Harmless requests that were rejected. */
  readonly wronglyRejected: number;
  /** Sends later than 3 s after the third end under a request, the most. */
  readonly late: number;
  /** Ends of upstreams under one request, the most. */
  readonly ends: number;
  readonly waves: number;
};

type Run = {
  readonly request: RepeatedRequest;
  readonly entry: Entry;
  readonly sentAt: Milliseconds;
  isOver: boolean;
};

type Upstream = {
  readonly zone: number;
  id: string;
  isUp: boolean;
  runs: Set<Run>;
};

type Replica = { book: CrashBook; feed: number; isUp: boolean };

type Entry = {
  book: CrashBook;
  isRunning: boolean;
  /** Whether it takes callers. */
  isUp: boolean;
  underWay: Map<string, number>;
  /** What each replica was told and has told, by the replica's number. */
  readonly links: { feed: number; told: number; read: number }[];
};

/**
 * Entries, control replicas and upstreams in virtual time: who learns when that
 * upstreams end under a request, and whom that hits.
 */
export class SimulatedCrashes {
  readonly #scenario: CrashScenario;
  readonly #random: () => number;
  readonly #events: { at: Milliseconds; run: () => void }[] = [];
  #now: Milliseconds = 0;
  #starts = 0;
  #feeds = 0;
  readonly #upstreams: Upstream[] = [];
  readonly #replicas: Replica[] = [];
  readonly #entries: Entry[] = [];
  readonly #endedAt = new Map<string, Milliseconds[]>();
  readonly #late = new Map<string, number>();
  #wronglyRejected = 0;
  #waves = 0;

  constructor(scenario: CrashScenario) {
    this.#scenario = scenario;
    this.#random = createSeededRandom(scenario.seed * 7919 + 1);
    for (let at = 0; at < UPSTREAMS; at += 1) {
      const upstream = {
        zone: at % ZONES,
        id: "",
        isUp: true,
        runs: new Set<Run>(),
      };
      this.#startUpstream(upstream);
      this.#upstreams.push(upstream);
    }
    for (let at = 0; at < REPLICAS; at += 1) {
      this.#replicas.push({
        book: createBook(),
        feed: this.#nextFeed,
        isUp: true,
      });
    }
    for (let at = 0; at < ENTRIES; at += 1) {
      this.#entries.push({
        book: createBook(),
        isRunning: true,
        isUp: true,
        underWay: new Map(),
        links: this.#replicas.map(() => ({ feed: 0, told: 0, read: 0 })),
      });
    }
  }

  run(): CrashOutcome {
    const { requests, waveShare, losesProcesses, duration } = this.#scenario;
    for (const entry of this.#entries) {
      for (let at = 0; at < REPLICAS; at += 1) {
        this.#repeat(
          at === 0 ? WHOLE_PAUSE : SHORT_PAUSE,
          () => this.#exchange(entry, at),
        );
      }
    }
    for (const request of requests) {
      for (let caller = 0; caller < request.callers; caller += 1) {
        this.#after(this.#draw(request.pause), () => this.#ask(request));
      }
    }
    if (waveShare > 0) {
      this.#repeat(2500, () => this.#strikeZone());
    }
    if (losesProcesses) {
      this.#repeat(3000, () => this.#killEntry());
      this.#repeat(4000, () => this.#killReplica());
    }
    this.#play(duration);
    return {
      wronglyRejected: this.#wronglyRejected,
      late: Math.max(0, ...this.#late.values()),
      ends: Math.max(
        0,
        ...[...this.#endedAt.values()].map(({ length }) => length),
      ),
      waves: this.#waves,
    };
  }

  #play(until: Milliseconds): void {
    while (this.#events.length > 0) {
      const event = this.#events.pop()!;
      if (event.at > until) {
        return;
      }
      this.#now = event.at;
      event.run();
    }
  }

  /** Events are kept latest first. */
  #after(delay: Milliseconds, run: () => void): void {
    const at = this.#now + delay;
    let from = 0;
    let to = this.#events.length;
    while (from < to) {
      const middle = (from + to) >> 1;
      if (this.#events[middle]!.at > at) {
        from = middle + 1;
      } else {
        to = middle;
      }
    }
    this.#events.splice(from, 0, { at, run });
  }

  #repeat(pause: Milliseconds, run: () => void): void {
    this.#after(pause * (0.5 + this.#random()), () => {
      run();
      this.#repeat(pause, run);
    });
  }

  #draw(most: Milliseconds): Milliseconds {
    return this.#random() * most;
  }

  #pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.#random() * items.length)];
  }

  get #nextFeed(): number {
    this.#feeds += 1;
    return this.#feeds;
  }

  /** A caller sends its request, and again once it is over. */
  #ask(request: RepeatedRequest): void {
    const again = () =>
      this.#after(1 + this.#draw(request.pause), () => this.#ask(request));
    const entry = this.#pick(this.#entries.filter(({ isUp }) => isUp));
    if (entry === undefined) {
      again();
      return;
    }
    const standing = entry.book.standing(request.name, this.#now);
    const upstream = this.#choose(standing);
    const isHeld = standing === CrashStanding.single &&
      entry.underWay.has(request.name);
    if (standing === CrashStanding.rejected) {
      this.#wronglyRejected += request.endsUpstreams ? 0 : 1;
    }
    const isRejected = standing === CrashStanding.rejected;
    if (isRejected || isHeld || upstream === undefined) {
      again();
      return;
    }
    this.#send(request, { entry, upstream, again });
  }

  /** A suspected request goes where least else runs. */
  #choose(standing: CrashStanding): Upstream | undefined {
    const up = this.#upstreams.filter(({ isUp }) => isUp);
    if (standing === CrashStanding.unsuspected) {
      return this.#pick(up);
    }
    const least = Math.min(...up.map(({ runs }) => runs.size));
    return this.#pick(up.filter(({ runs }) => runs.size === least));
  }

  #send(
    request: RepeatedRequest,
    { entry, upstream, again }: {
      entry: Entry;
      upstream: Upstream;
      again: () => void;
    },
  ): void {
    const run: Run = { request, entry, sentAt: this.#now, isOver: false };
    this.#noteSend(request);
    upstream.runs.add(run);
    const { name } = request;
    entry.underWay.set(name, (entry.underWay.get(name) ?? 0) + 1);
    const { id } = upstream;
    const isEnding = request.endsUpstreams;
    this.#after(
      isEnding ? 20 + this.#draw(80) : this.#draw(request.lasts),
      () => {
        if (!run.isOver && isEnding && upstream.id === id && upstream.isUp) {
          this.#endUpstream(upstream);
          const ends = this.#endedAt.get(name) ?? [];
          this.#endedAt.set(name, [...ends, this.#now]);
        } else if (!run.isOver) {
          upstream.runs.delete(run);
          this.#endRun(run);
          if (entry.isUp && entry.book.noteAnswer(name, this.#now)) {
            this.#reportToAll(entry);
          }
        }
        again();
      },
    );
  }

  #noteSend({ name }: RepeatedRequest): void {
    const third = this.#endedAt.get(name)?.[CRASHES_BORNE - 1];
    if (third !== undefined && this.#now > third + TOLD_WITHIN) {
      this.#late.set(name, (this.#late.get(name) ?? 0) + 1);
    }
  }

  #endRun(run: Run): void {
    run.isOver = true;
    const { underWay } = run.entry;
    const left = (underWay.get(run.request.name) ?? 1) - 1;
    if (left > 0) {
      underWay.set(run.request.name, left);
    } else {
      underWay.delete(run.request.name);
    }
  }

  #startUpstream(upstream: Upstream): void {
    this.#starts += 1;
    upstream.id = `u${this.#starts}`;
    upstream.isUp = true;
  }

  #endUpstream(upstream: Upstream): void {
    const { id, runs } = upstream;
    upstream.isUp = false;
    upstream.runs = new Set();
    for (const run of runs) {
      this.#endRun(run);
      this.#after(this.#draw(MOST_UNNOTICED), () => this.#noteEnd(run, id));
    }
    this.#after(UPSTREAM_DOWNTIME, () => this.#startUpstream(upstream));
  }

  #noteEnd({ request, entry, sentAt }: Run, upstream: string): void {
    const key = {
      request: request.name,
      workspace: request.name,
      service: "desk",
      size: 0,
    };
    const run = { upstream, sentAt, endedAt: this.#now };
    if (entry.isUp && entry.book.noteCrash(key, run)) {
      this.#reportToAll(entry);
    }
  }

  #reportToAll(entry: Entry): void {
    for (let at = 0; at < REPLICAS; at += 1) {
      this.#exchange(entry, at);
    }
  }

  #exchange(entry: Entry, at: number): void {
    if (!entry.isRunning) {
      return;
    }
    const replica = this.#replicas[at]!;
    const link = entry.links[at]!;
    const { book } = entry;
    const told = book.revision;
    const reported = book.changesSince(link.told, this.#now);
    const asked = { feed: link.feed, read: link.read };
    this.#after(this.#draw(MOST_DELAY), () => {
      if (!replica.isUp) {
        return;
      }
      const { feed } = replica;
      replica.book.learn(reported, this.#now);
      const since = asked.feed === feed ? asked.read : 0;
      const answer = replica.book.changesSince(since, this.#now);
      const { revision } = replica.book;
      this.#after(this.#draw(MOST_DELAY), () => {
        if (entry.book !== book) {
          return;
        }
        // The first answer brings the configuration that it serves by.
        entry.isUp = true;
        link.told = asked.feed === feed ? told : 0;
        link.feed = feed;
        link.read = revision;
        book.learn(answer, this.#now);
      });
    });
  }

  /** Upstreams of a zone are reclaimed, at once or nearly so. */
  #strikeZone(): void {
    const { waveShare, waveSpread } = this.#scenario;
    const zone = Math.floor(this.#random() * ZONES);
    this.#waves += 1;
    for (const upstream of this.#upstreams) {
      if (upstream.zone === zone && this.#random() < waveShare) {
        const { id } = upstream;
        this.#after(this.#draw(waveSpread), () => {
          if (upstream.id === id && upstream.isUp) {
            this.#endUpstream(upstream);
          }
        });
      }
    }
  }

  #killEntry(): void {
    const entry = this.#pick(this.#entries.filter(({ isUp }) => isUp))!;
    entry.isUp = false;
    entry.isRunning = false;
    entry.book = createBook();
    for (const upstream of this.#upstreams) {
      for (const run of upstream.runs) {
        if (run.entry === entry) {
          upstream.runs.delete(run);
          this.#endRun(run);
        }
      }
    }
    this.#after(PROCESS_DOWNTIME, () => {
      entry.book = createBook();
      entry.underWay = new Map();
      for (const link of entry.links) {
        Object.assign(link, { feed: 0, told: 0, read: 0 });
      }
      entry.isRunning = true;
      this.#reportToAll(entry);
    });
  }

  /** One replica at a time loses all that it knows. */
  #killReplica(): void {
    if (this.#replicas.some(({ isUp }) => !isUp)) {
      return;
    }
    const replica = this.#pick(this.#replicas)!;
    replica.isUp = false;
    this.#after(PROCESS_DOWNTIME, () => {
      replica.book = createBook();
      replica.feed = this.#nextFeed;
      replica.isUp = true;
    });
  }
}

function createBook(): CrashBook {
  return new CrashBook({
    revisions: new RevisionCounter(),
    countUpstreams: () => UPSTREAMS,
  });
}
