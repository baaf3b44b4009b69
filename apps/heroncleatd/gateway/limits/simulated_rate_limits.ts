import {
  type Clock,
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import {
  type ChosenUpstream,
  ENTRY_RETENTION,
  type PermitReply,
  type RateLimit,
  RateLimitRegistry,
  RecentMaximum,
  type RequestClass,
  RevisionCounter,
  SendPermits,
  type SyncReply,
  type SyncRequest,
  type Workspace,
  WorkspaceQuota,
} from "@heroncleat/serving";
import { ControlLinks } from "../exchange/control_links.ts";
import type { FeedPosition } from "../exchange/feed_position.ts";
import { findUpstream } from "../upstreams/find_upstream.ts";
import { PermitClient } from "./permit_client.ts";
import { testRecord } from "../../hub/test_record.ts";
import { SimulatedReplicas } from "../exchange/simulated_replicas.ts";

const STEP_MS = 10;
/** Time from the sending of a request to the response. */
const RESPONSE_TIME_MS = 20;
/** Share of the datagrams that are lost. */
const DATAGRAM_LOSS = 0.2;
/** Length of the windows in which requests are counted. */
const WINDOW_MS = 4000;
const noMetrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const silentLog = { debug() {}, info() {}, warn() {}, error() {} };

/** How entries decide who may send to an upstream with a limit. */
export const SendPolicy = {
  /** The decisions of the product. */
  permits: "permits",
  /** Turns by name and time, without any exchange. */
  turns: "turns",
  /** One entry for each upstream, by rendezvous hashing. */
  owner: "owner",
  /** Charges as for quotas, without a tolerated excess. */
  account: "account",
} as const;

export type SendPolicy = typeof SendPolicy[keyof typeof SendPolicy];

/** Requests of one workspace with one priority. */
export type SimulatedClass = {
  readonly priority: number;
  readonly workspace: string;
  /** Share of all requests, 0 to 1. */
  readonly share: number;
};

/** The requests of one class and what became of them. */
type ClassCounts = { sent: number; served: number };

const SERVICE = "desk";
const SINGLE_CLASS: readonly SimulatedClass[] = [
  { priority: 1, workspace: "inn", share: 1 },
];

type SimulationOptions = {
  readonly entries: number;
  /** Hosts that also run a control replica. */
  readonly replicas: readonly number[];
  readonly policy: SendPolicy;
  /** Requests per second that each upstream states at first. */
  readonly limits: readonly (number | undefined)[];
  /** Requests per second of all callers together. */
  readonly demand: number;
  /** Classes of requests, drawn by their shares of the demand. */
  readonly classes?: readonly SimulatedClass[];
  readonly seed: number;
  readonly advanceTimers: (milliseconds: number) => Promise<void>;
};

type SimulatedEntry = {
  readonly host: number;
  readonly name: string;
  readonly limits: RateLimitRegistry;
  readonly permits: SendPermits;
  readonly client: PermitClient;
  readonly links: ControlLinks;
  readonly quota: WorkspaceQuota;
  readonly entryCount: RecentMaximum;
  /** Whether a reply has brought the configuration. */
  isConfigured: boolean;
};

/** A request at an upstream. */
export type Arrival = {
  readonly at: Milliseconds;
  readonly upstream: number;
  readonly host: number;
};

/**
 * Simulates entries that send to upstreams with rate limits, with real control
 * replicas, in virtual time.
 */
export class SimulatedRateLimits {
  readonly network: SimulatedReplicas;
  readonly arrivals: Arrival[] = [];
  /** Requests per second that each upstream states now. */
  readonly limits: (number | undefined)[];
  served = 0;
  refused = 0;
  /** Time for which each request waited before it was sent or refused. */
  readonly waits: { readonly at: Milliseconds; readonly time: Milliseconds }[] =
    [];
  /** By workspace. */
  readonly classCounts: Record<string, ClassCounts> = {};
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #entries: SimulatedEntry[];
  #unsent = 0;
  #restarts = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.network = new SimulatedReplicas(options.replicas);
    this.limits = [...options.limits];
    for (const index of this.limits.keys()) {
      this.network.addUpstream(
        testRecord(String(index), { address: `u${index}:1`, sequence: 1 }),
      );
    }
    this.#entries = Array.from(
      { length: options.entries },
      (_, host) => this.#createEntry(host),
    );
  }

  async run(milliseconds: Milliseconds): Promise<void> {
    const until = this.network.now + milliseconds;
    while (this.network.now < until) {
      this.network.now += STEP_MS;
      await this.#options.advanceTimers(STEP_MS);
      this.#unsent += this.#options.demand * STEP_MS / 1000;
      while (this.#unsent >= 1) {
        this.#unsent -= 1;
        const host = Math.floor(this.#random() * this.#entries.length);
        void this.#handleRequest(this.#entries[host]!);
      }
    }
  }

  /** Replaces an entry by one that has lost what it held in memory. */
  restartEntry(host: number): void {
    this.#entries[host]!.links.stop();
    this.#restarts += 1;
    this.#entries[host] = this.#createEntry(host);
  }

  close(): void {
    for (const { links } of this.#entries) {
      links.stop();
    }
  }

  /**
   * The largest number of requests in any window, beyond 1.5 times the limit
   * and 5 requests; negative if all are within.
   */
  maxExcess(from: Milliseconds, until: Milliseconds): number {
    let maxExcess = -Infinity;
    for (const [upstream, limit] of this.#options.limits.entries()) {
      if (limit !== undefined) {
        const count = this.#maxInWindow(upstream, { from, until });
        const tolerated = 1.5 * limit * WINDOW_MS / 1000 + 5;
        maxExcess = Math.max(maxExcess, count - tolerated);
      }
    }
    return maxExcess;
  }

  /** Requests sent in a period, as a share of what the upstreams accept. */
  usedShare(from: Milliseconds, until: Milliseconds): number {
    let accepted = 0;
    let sent = 0;
    for (const [upstream, limit] of this.#options.limits.entries()) {
      if (limit !== undefined) {
        accepted += limit * (until - from) / 1000;
        sent += this.#times(upstream, { from, until }).length;
      }
    }
    return sent / accepted;
  }

  #maxInWindow(
    upstream: number,
    period: { from: Milliseconds; until: Milliseconds },
  ): number {
    const times = this.#times(upstream, period);
    let first = 0;
    let max = 0;
    for (const [index, at] of times.entries()) {
      while (times[first]! <= at - WINDOW_MS) {
        first += 1;
      }
      max = Math.max(max, index - first + 1);
    }
    return max;
  }

  #times(
    upstream: number,
    { from, until }: { from: Milliseconds; until: Milliseconds },
  ): Milliseconds[] {
    return this.arrivals.filter((arrival) =>
      arrival.upstream === upstream && arrival.at >= from && arrival.at < until
    ).map(({ at }) => at);
  }

  #drawClass(): SimulatedClass {
    const classes = this.#options.classes ?? SINGLE_CLASS;
    let remaining = this.#random();
    const drawn = classes.find(({ share }) => (remaining -= share) < 0);
    return drawn ?? classes[0]!;
  }

  async #handleRequest(entry: SimulatedEntry): Promise<void> {
    const drawn = this.#drawClass();
    const counts = this.classCounts[drawn.workspace] ??= { sent: 0, served: 0 };
    counts.sent += 1;
    const receivedAt = this.network.now;
    const upstream = entry.isConfigured
      ? await this.#chooseUpstream(entry, {
        service: SERVICE,
        priority: drawn.priority,
        workspace: drawn.workspace,
      })
      : undefined;
    this.waits.push({
      at: receivedAt,
      time: this.network.now - receivedAt,
    });
    if (upstream === undefined) {
      this.refused += 1;
      return;
    }
    this.served += 1;
    counts.served += 1;
    const sentAt = this.network.now;
    this.arrivals.push({ at: sentAt, upstream, host: entry.host });
    await new Promise((resolve) => setTimeout(resolve, RESPONSE_TIME_MS));
    const changed = entry.limits.recordResponse(
      String(upstream),
      { rate: this.limits[upstream] },
      { sentAt, receivedAt: this.network.now },
    );
    if (changed !== undefined) {
      entry.links.reportToAll();
      this.#broadcast(entry, changed);
    }
  }

  async #chooseUpstream(
    entry: SimulatedEntry,
    requestClass: RequestClass,
  ): Promise<number | undefined> {
    const order = this.#shuffledUpstreams();
    if (this.#options.policy !== SendPolicy.permits) {
      return order.find((upstream) => this.#maySend(entry, upstream));
    }
    const ranked = order.map((upstream) =>
      ({ upstream: { record: { id: String(upstream) } } }) as ChosenUpstream
    );
    let hasAsked = false;
    if (
      !ranked.some(({ upstream }) =>
        !entry.permits.isLimited(upstream.record.id)
      )
    ) {
      entry.client.recordDemand(requestClass);
    }
    for (;;) {
      const decision = findUpstream(ranked, {
        permits: entry.permits,
        requestClass,
        now: this.network.now,
        hasAsked,
      });
      if (decision.kind === "chosen") {
        return Number(decision.chosen.upstream.record.id);
      }
      if (decision.kind !== "ask") {
        return undefined;
      }
      const { upstreams, hasAlternative } = decision;
      await entry.client.request({ ...requestClass, upstreams }, {
        hasAlternative,
      });
      hasAsked = true;
    }
  }

  /** Decides by one of the policies that the product doesn't use. */
  #maySend(entry: SimulatedEntry, upstream: number): boolean {
    const id = String(upstream);
    const rate = entry.limits.rateOf(id);
    if (rate === undefined) {
      return true;
    }
    const { now } = this.network;
    if (this.#options.policy === SendPolicy.turns) {
      const isAvailable = entry.permits.isAvailable(id, now);
      if (isAvailable) {
        entry.permits.take(id, now);
      }
      return isAvailable;
    }
    const workspace: Workspace = {
      name: id,
      keys: [],
      priority: 1,
      rate,
      burst: 1,
      defaultCharge: 1,
      countsTokens: false,
    };
    if (
      this.#options.policy === SendPolicy.owner &&
      this.#ownerOf(entry, upstream) !== entry.name
    ) {
      return false;
    }
    const { ok } = entry.quota.charge(workspace, { amount: 1, now });
    if (ok && this.#options.policy === SendPolicy.account) {
      entry.links.reportToPrimary();
    }
    return ok;
  }

  /** The listed entry that sends to an upstream. */
  #ownerOf(entry: SimulatedEntry, upstream: number): string {
    const names = entry.links.listEntries().map(({ name }) => name).sort();
    return names[(upstream * 7919 + this.#options.seed) % names.length] ?? "";
  }

  #shuffledUpstreams(): number[] {
    const order = [...this.limits.keys()];
    for (let index = order.length - 1; index > 0; index -= 1) {
      const other = Math.floor(this.#random() * (index + 1));
      [order[index], order[other]] = [order[other]!, order[index]!];
    }
    return order;
  }

  #broadcast(from: SimulatedEntry, limit: RateLimit): void {
    for (const to of this.#entries) {
      if (to !== from && this.#random() >= DATAGRAM_LOSS) {
        void this.network.sendDatagram(
          { from: from.host, to: to.host },
          () => void to.limits.merge([limit]),
        );
      }
    }
  }

  #createEntry(host: number): SimulatedEntry {
    const name = `e${host}`;
    const boot = `b${host}-${this.#restarts}`;
    const clock = { steady: () => this.network.now } as Clock;
    const revisions = new RevisionCounter();
    const limits = new RateLimitRegistry(revisions);
    const entryCount = new RecentMaximum(1, ENTRY_RETENTION);
    const permits = new SendPermits({
      limits,
      entry: name,
      trueTime: (monotonic) => monotonic,
    });
    const quota = new WorkspaceQuota({
      isFresh: true,
      window: WINDOW_MS,
      overshoot: 0,
      tolerance: 0,
    });
    const links = new ControlLinks({
      isUsableEntry: () => true,
      pool: this.network.poolOf(host),
      clock,
      log: silentLog,
      seeds: () => this.network.addresses,
      createRequest: (position) =>
        this.#createRequest({ host, name, boot }, {
          position,
          spent: quota.spent(),
          limits: limits.changesSince(position.suspectsSentRevision),
        }),
      onReply: (reply) => this.#applyReply(reply, entry),
      onIsolated: () => permits.recordIsolation(this.network.now),
      onFollow: () => {},
      suspectRevision: () => revisions.value,
      isAwaitingConfiguration: () => false,
      random: this.#random,
    });
    const client = new PermitClient({
      entry: name,
      permits,
      limits,
      clock,
      metrics: noMetrics,
      call: async (request) =>
        await links.callPrimary("hub.permits", request) as
          | PermitReply
          | undefined,
    });
    const entry: SimulatedEntry = {
      host,
      name,
      limits,
      permits,
      client,
      links,
      quota,
      entryCount,
      isConfigured: false,
    };
    if (this.#options.policy === SendPolicy.turns) {
      permits.recordIsolation(this.network.now);
    }
    links.start();
    return entry;
  }

  #createRequest(
    entry: { host: number; name: string; boot: string },
    { position, spent, limits }: {
      position: FeedPosition;
      spent: Record<string, number>;
      limits: RateLimit[];
    },
  ): SyncRequest {
    const { host, name, boot } = entry;
    return {
      entry: {
        name,
        address: `${host}:1`,
        zone: "a",
        region: "r",
        boot,
        isOpen: true,
      },
      wall: this.network.now,
      feed: position.feed,
      revision: position.revision,
      documentVersion: 1,
      takesChanges: true,
      loadsSince: position.loadsSince,
      ...position.report.build(position.feed, {
        spent,
        readWork: {},
        usage: {},
      }),
      rateLimits: limits,
      readingSpeeds: {},
      loads: position.isPrimary ? {} : undefined,
    };
  }

  #applyReply(reply: SyncReply, entry: SimulatedEntry): void {
    entry.limits.merge(reply.rateLimits ?? []);
    const { feed, spentByOthers, shared } = reply;
    const { now } = this.network;
    const names = entry.links.listEntries().map(({ name }) => name);
    entry.entryCount.record(names.length, now);
    entry.permits.setEntries(names, entry.entryCount.value);
    entry.isConfigured = true;
    if (shared === undefined) {
      entry.quota.applySecondaryCharges(feed, spentByOthers, now);
      return;
    }
    if (this.#options.policy === SendPolicy.permits) {
      entry.permits.recordPrimary({
        isIssuing: shared.issuesPermits === true,
        now,
      });
    }
    entry.quota.applyCharges(feed, {
      spent: spentByOthers,
      share: shared.quotaShare,
      entries: entry.entryCount.value,
      now,
    });
  }
}
