import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import {
  type ReportedSuspect,
  RevisionCounter,
  suspectedPartKey,
  SuspectRegistry,
  SuspectStatus,
} from "@heroncleat/serving";
import type { RequestIdentity } from "./request_identity.ts";
import { SuspectWatcher } from "./suspect_watcher.ts";

const SERVICE = "desk";
const STEP: Milliseconds = 10;
const ZONES = 4;
const REPLICAS = 3;
const MAX_MESSAGE_DELAY: Milliseconds = 25;
const MAX_DETECTION_DELAY: Milliseconds = 60;
const UPSTREAM_DOWNTIME: Milliseconds = 2000;
const PROCESS_DOWNTIME: Milliseconds = 1000;
/** Time until the first byte of a response, and from there to a crash. */
const FIRST_BYTE_DELAY: Milliseconds = 50;
const CRASH_DELAY: Milliseconds = 40;
/** Crashes that are allowed, and the time for all entries to learn of them. */
const ALLOWED_CRASHES = 5;
const PROPAGATION_TIME: Milliseconds = 3000;
const DATAGRAM_LOSS = 0.02;

/** A play of prompt parts on upstreams that crash. */
export type PartScenario = {
  readonly seed: number;
  readonly duration: Milliseconds;
  readonly entryCount: number;
  readonly upstreamCount: number;
  readonly requestsPerSecond: number;
  /** Requests with the crashing part; 0 for none. */
  readonly crashingPerSecond: number;
  /** Upstreams that an entry sends a request to, one after the other. */
  readonly maxAttempts: number;
  /** Whether the crashing part never comes without a certain harmless one. */
  readonly hasCompanion: boolean;
  /** Share of a zone's upstreams that each wave ends; 0 for no waves. */
  readonly waveShare: number;
  readonly waveSpread: Milliseconds;
  /** Whether entries and replicas restart and lose contact. */
  readonly disruptsProcesses: boolean;
  /** Interval of an entry's exchanges with each replica. */
  readonly exchangeInterval: Milliseconds;
};

export type PartOutcome = {
  /** Sound requests that were rejected. */
  readonly wronglyRejected: number;
  /** Sends with the part by entries in contact, too late after the fifth crash. */
  readonly lateSends: number;
  readonly crashes: number;
  readonly rejected: number;
};

type Run = {
  readonly entry: Entry;
  readonly identity: RequestIdentity;
  readonly sentAt: Milliseconds;
  readonly begunAt: Milliseconds;
  readonly isCrashing: boolean;
  readonly attemptsLeft: number;
  isOver: boolean;
};

type Upstream = {
  readonly name: number;
  readonly zone: number;
  id: string;
  isUp: boolean;
  runs: Set<Run>;
};

type Link = { feed: number; sentRevision: number; readRevision: number };
type Replica = { registry: SuspectRegistry; feed: number; isUp: boolean };

type Entry = {
  registry: SuspectRegistry;
  watcher: SuspectWatcher;
  links: Link[];
  isUp: boolean;
  cutUntil: Milliseconds;
};

/**
 * Plays entries, control replicas and upstreams in virtual time: how soon all
 * entries reject a prompt part that crashes upstreams, and what else they
 * reject.
 */
export function simulateParts(scenario: PartScenario): PartOutcome {
  return new PartSimulation(scenario).run();
}

class PartSimulation {
  readonly #scenario: PartScenario;
  readonly #random: Random;
  /** Functions to run by step. */
  readonly #events = new Map<number, (() => void)[]>();
  #now: Milliseconds = 0;
  #counter = 0;
  readonly #upstreams: Upstream[] = [];
  readonly #replicas: Replica[] = [];
  readonly #entries: Entry[] = [];
  readonly #crashTimes: Milliseconds[] = [];
  #lateSends = 0;
  #wronglyRejected = 0;
  #rejected = 0;

  constructor(scenario: PartScenario) {
    this.#scenario = scenario;
    this.#random = createSeededRandom(scenario.seed * 7919 + 3);
    for (let name = 0; name < scenario.upstreamCount; name += 1) {
      const zone = name % ZONES;
      const upstream = {
        name,
        zone,
        id: "",
        isUp: false,
        runs: new Set<Run>(),
      };
      this.#startUpstream(upstream);
      this.#upstreams.push(upstream);
    }
    for (let index = 0; index < REPLICAS; index += 1) {
      this.#replicas.push(this.#createReplica());
    }
    for (let index = 0; index < scenario.entryCount; index += 1) {
      this.#entries.push(this.#createEntry());
    }
  }

  run(): PartOutcome {
    const { duration, requestsPerSecond, crashingPerSecond } = this.#scenario;
    this.#scheduleDisruptions();
    for (const entry of this.#entries) {
      for (let index = 0; index < REPLICAS; index += 1) {
        this.#repeat(
          this.#scenario.exchangeInterval,
          () => this.#exchange(entry, index),
        );
      }
    }
    for (; this.#now < duration; this.#now += STEP) {
      const step = this.#now / STEP;
      const events = this.#events.get(step) ?? [];
      this.#events.delete(step);
      for (const run of events) {
        run();
      }
      this.#draw(requestsPerSecond, () => this.#submit(this.#soundParts()));
      this.#draw(crashingPerSecond, () => this.#submit(this.#crashingParts()));
    }
    return {
      wronglyRejected: this.#wronglyRejected,
      lateSends: this.#lateSends,
      crashes: this.#crashTimes.length,
      rejected: this.#rejected,
    };
  }

  #draw(perSecond: number, run: () => void): void {
    let expected = perSecond * STEP / 1000;
    for (; this.#random() < expected; expected -= 1) {
      run();
    }
  }

  #schedule(delay: Milliseconds, run: () => void): void {
    const step = Math.max(
      this.#now / STEP + 1,
      Math.round((this.#now + delay) / STEP),
    );
    const events = this.#events.get(step) ?? [];
    events.push(run);
    this.#events.set(step, events);
  }

  #repeat(interval: Milliseconds, run: () => void): void {
    this.#schedule(interval * (0.5 + this.#random()), () => {
      run();
      this.#repeat(interval, run);
    });
  }

  #pick<Item>(items: readonly Item[]): Item | undefined {
    return items[Math.floor(this.#random() * items.length)];
  }

  /** One of a number of parts, the first ones more often. */
  #drawPart(kind: string, count: number): string {
    return `${kind}${Math.floor(count * this.#random() ** 2)}`;
  }

  #soundParts(): string[] {
    return [
      this.#drawPart("system", 4),
      this.#drawPart("document", 60),
      this.#drawPart("session", 300),
    ];
  }

  #crashingParts(): string[] {
    const parts = this.#soundParts();
    const { hasCompanion } = this.#scenario;
    parts.splice(Math.floor(this.#random() * parts.length), 0, "crashing");
    return hasCompanion ? ["companion", ...parts] : parts;
  }

  #submit(parts: readonly string[]): void {
    const entry = this.#pick(this.#entries.filter(({ isUp }) => isUp));
    if (entry !== undefined) {
      this.#send({
        entry,
        identity: this.#identify(parts),
        isCrashing: parts.includes("crashing"),
        attemptsLeft: this.#scenario.maxAttempts,
      });
    }
  }

  #send(
    request: Pick<Run, "entry" | "identity" | "isCrashing" | "attemptsLeft">,
  ): void {
    const { entry, identity, isCrashing } = request;
    const attemptsLeft = request.attemptsLeft - 1;
    const upstream = this.#pick(this.#upstreams.filter(({ isUp }) => isUp));
    if (!entry.isUp || upstream === undefined || attemptsLeft < 0) {
      return;
    }
    if (entry.watcher.status(identity) === SuspectStatus.rejected) {
      this.#wronglyRejected += isCrashing ? 0 : 1;
      this.#rejected += isCrashing ? 1 : 0;
      return;
    }
    if (isCrashing) {
      this.#recordSend(entry);
    }
    const begunAt = this.#now + FIRST_BYTE_DELAY * (0.5 + this.#random());
    const run = {
      entry,
      identity,
      isCrashing,
      attemptsLeft,
      sentAt: this.#now,
      begunAt,
      isOver: false,
    };
    upstream.runs.add(run);
    const { id } = upstream;
    const end = isCrashing
      ? begunAt + CRASH_DELAY
      : begunAt + 100 + 5000 * this.#random() ** 3;
    this.#schedule(end - this.#now, () => {
      if (run.isOver || upstream.id !== id) {
        return;
      }
      if (isCrashing) {
        this.#crashTimes.push(this.#now);
        this.#crash(upstream);
        return;
      }
      run.isOver = true;
      upstream.runs.delete(run);
      if (entry.isUp) {
        entry.watcher.recordSuccess(identity);
      }
    });
  }

  #recordSend({ cutUntil }: Entry): void {
    const fifth = this.#crashTimes[ALLOWED_CRASHES - 1] ?? Infinity;
    const isInContact = this.#now > cutUntil + PROPAGATION_TIME;
    if (isInContact && this.#now > fifth + PROPAGATION_TIME) {
      this.#lateSends += 1;
    }
  }

  #identify(parts: readonly string[]): RequestIdentity {
    this.#counter += 1;
    const digest = `request ${this.#counter}`;
    const keys = parts.map((part) => suspectedPartKey(SERVICE, part));
    return {
      attempt: digest,
      workspace: "inn",
      service: SERVICE,
      size: this.#counter,
      digest: () => digest,
      parts: () => keys,
    };
  }

  #startUpstream(upstream: Upstream): void {
    this.#counter += 1;
    upstream.id = `${upstream.name}@${this.#counter}`;
    upstream.isUp = true;
  }

  #crash(upstream: Upstream): void {
    const { id, runs } = upstream;
    upstream.isUp = false;
    upstream.runs = new Set();
    const byEntry = new Map<Entry, Run[]>();
    for (const run of runs) {
      run.isOver = true;
      byEntry.set(run.entry, [...byEntry.get(run.entry) ?? [], run]);
    }
    for (const [entry, broken] of byEntry) {
      const { watcher } = entry;
      this.#schedule(this.#random() * MAX_DETECTION_DELAY, () => {
        for (const { identity, sentAt, begunAt } of broken) {
          watcher.recordBrokenConnection(identity, {
            upstream: id,
            address: id,
            sentAt,
            begunAt: begunAt <= this.#now ? begunAt : undefined,
          });
        }
        watcher.recordCrash(id);
        for (const run of broken) {
          this.#send(run);
        }
      });
    }
    this.#schedule(UPSTREAM_DOWNTIME, () => this.#startUpstream(upstream));
  }

  #createRegistry(): SuspectRegistry {
    return new SuspectRegistry({
      revisions: new RevisionCounter(),
      countUpstreams: () => this.#scenario.upstreamCount,
      random: this.#random,
    });
  }

  #createReplica(): Replica {
    this.#counter += 1;
    return {
      registry: this.#createRegistry(),
      feed: this.#counter,
      isUp: true,
    };
  }

  #createEntry(): Entry {
    const registry = this.#createRegistry();
    const steady = () => this.#now;
    const entry: Entry = {
      registry,
      watcher: new SuspectWatcher({
        registry,
        clock: { now: steady, steady, wall: steady },
        log: { debug() {}, info() {}, warn() {}, error() {} },
        metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
        // Crashes are reported by the simulation.
        probe: () => new Promise(() => {}),
        isReplaced: () => false,
        serviceOf: () => undefined,
        onCrash: () => {},
        report: (changed) => this.#report(entry, changed),
      }),
      links: this.#replicas.map(() => ({
        feed: 0,
        sentRevision: 0,
        readRevision: 0,
      })),
      isUp: true,
      cutUntil: -Infinity,
    };
    return entry;
  }

  #report(entry: Entry, changed: readonly ReportedSuspect[]): void {
    for (let index = 0; index < REPLICAS; index += 1) {
      this.#exchange(entry, index);
    }
    if (this.#isCut(entry)) {
      return;
    }
    for (const other of this.#entries) {
      const { watcher } = other;
      const isLost = this.#random() < DATAGRAM_LOSS || this.#isCut(other);
      if (other !== entry && !isLost) {
        this.#schedule(
          this.#random() * MAX_MESSAGE_DELAY,
          () => watcher.mergeReports(changed),
        );
      }
    }
  }

  #isCut({ cutUntil }: Entry): boolean {
    return this.#now < cutUntil;
  }

  #exchange(entry: Entry, index: number): void {
    const replica = this.#replicas[index]!;
    const link = entry.links[index]!;
    const { registry, watcher } = entry;
    if (!entry.isUp || this.#isCut(entry)) {
      return;
    }
    const sentRevision = registry.revision;
    const reported = registry.changesSince(link.sentRevision, this.#now);
    this.#schedule(this.#random() * MAX_MESSAGE_DELAY, () => {
      if (!replica.isUp) {
        return;
      }
      const { feed } = replica;
      replica.registry.merge(reported, this.#now);
      const isSame = link.feed === feed;
      const reply = replica.registry.changesSince(
        isSame ? link.readRevision : 0,
        this.#now,
      ).filter(({ crashes, answeredAge }) =>
        crashes.length > 1 || answeredAge !== undefined
      );
      const { revision } = replica.registry;
      this.#schedule(this.#random() * MAX_MESSAGE_DELAY, () => {
        if (entry.registry === registry) {
          link.sentRevision = isSame ? sentRevision : 0;
          link.feed = feed;
          link.readRevision = revision;
          watcher.mergeReports(reply);
        }
      });
    });
  }

  #scheduleDisruptions(): void {
    const { waveShare, disruptsProcesses } = this.#scenario;
    if (waveShare > 0) {
      this.#repeat(2500, () => this.#endUpstreams());
    }
    if (disruptsProcesses) {
      this.#repeat(3000, () => this.#restartEntry());
      this.#repeat(4000, () => this.#restartReplica());
      this.#repeat(5000, () => this.#cutEntry());
    }
  }

  /** Upstreams of a zone end by themselves. */
  #endUpstreams(): void {
    const { waveShare, waveSpread } = this.#scenario;
    const zone = Math.floor(this.#random() * ZONES);
    for (const upstream of this.#upstreams) {
      const { id } = upstream;
      if (upstream.zone === zone && this.#random() < waveShare) {
        this.#schedule(this.#random() * waveSpread, () => {
          if (upstream.id === id && upstream.isUp) {
            this.#crash(upstream);
          }
        });
      }
    }
  }

  #restartEntry(): void {
    const index = Math.floor(this.#random() * this.#entries.length);
    const entry = this.#entries[index]!;
    entry.isUp = false;
    this.#schedule(PROCESS_DOWNTIME, () => {
      const next = this.#createEntry();
      next.isUp = false;
      this.#entries[index] = next;
      this.#beginExchanges(next);
    });
  }

  /** An entry accepts callers once a replica has replied. */
  #beginExchanges(entry: Entry): void {
    entry.isUp = true;
    for (let index = 0; index < REPLICAS; index += 1) {
      this.#exchange(entry, index);
      this.#repeat(
        this.#scenario.exchangeInterval,
        () => this.#exchange(entry, index),
      );
    }
    entry.isUp = false;
    this.#schedule(3 * MAX_MESSAGE_DELAY, () => entry.isUp = true);
  }

  /** One replica at a time loses its state. */
  #restartReplica(): void {
    const index = Math.floor(this.#random() * REPLICAS);
    if (this.#replicas.every(({ isUp }) => isUp)) {
      this.#replicas[index]!.isUp = false;
      this.#schedule(PROCESS_DOWNTIME, () => {
        this.#replicas[index] = this.#createReplica();
      });
    }
  }

  #cutEntry(): void {
    const entry = this.#pick(this.#entries)!;
    entry.cutUntil = this.#now + 500 + 4000 * this.#random();
  }
}
