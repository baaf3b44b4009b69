import { createSeededRandom, type Random } from "@heroncleat/base";
import {
  Hub,
  type SyncRequest,
  type Workspace,
  WorkspaceQuota,
} from "@heroncleat/serving";
import type { ChargeNotice } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import { ChargeSharing } from "./charge_sharing.ts";
import { QuotaCharging } from "./quota_charging.ts";
import { ControlLinks } from "./control_links.ts";
import type { FeedPosition } from "./feed_position.ts";

const STEP = 10;
const WINDOW = 8000;
const OVERSHOOT = 0.1;
/** Tokens that a window may hold beside a part of the quota. */
const TOLERANCE = 190_000;
/** One way between two VMs, with the work at the far end. */
const LATENCY = 4;
/** Silence after which a caller of a VM that is cut off gives up. */
const CALL_TIMEOUT = 800;
/** Parts of a workspace's requests, and their usual charges. */
const MIX = [
  { part: 0.27, tokens: 17_000 },
  { part: 0.12, tokens: 9200 },
  { part: 0.34, tokens: 1500 },
  { part: 0.27, tokens: 200 },
];
/** Largest requests are so many times as long as the usual ones. */
const MOST_TIMES = 2.4;
/** Pause between direct notices while no control replica answers. */
const SHARE_INTERVAL = 200;
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const quiet = { debug() {}, info() {}, warn() {}, error() {} };

/** One entry of the play. */
type SimulatedEntry = {
  readonly host: number;
  readonly quota: WorkspaceQuota;
  readonly links: ControlLinks;
  readonly charges: ChargeSharing;
  readonly charging: QuotaCharging;
  readonly timer: NodeJS.Timeout;
};

/** A request that was charged. */
type Grant = { readonly at: number; readonly amount: number };

/** What the play is built from. */
type PlayOptions = {
  readonly entries: number;
  /** Hosts on which a control replica runs, too. */
  readonly replicas: readonly number[];
  /** Tokens a second of the workspace; its burst is one second's. */
  readonly rate: number;
  readonly seed: number;
  readonly advanceTimers: (milliseconds: number) => Promise<void>;
};

/**
 * Entries that share a workspace's quota by way of real control replicas, in
 * virtual time; any pair of hosts may be cut off from each other.
 */
export class SimulatedQuotas {
  readonly workspace: Workspace;
  readonly grants: Grant[] = [];
  now = 0;
  /** Host of the replica that leads; undefined while none does. */
  leader: number | undefined;
  /** Whether two hosts can't reach each other. */
  isCut: (left: number, right: number) => boolean = () => false;
  readonly #options: PlayOptions;
  readonly #random: Random;
  readonly #hubs = new Map<number, Hub>();
  readonly #entries: SimulatedEntry[];
  #owed = 0;

  constructor(options: PlayOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.leader = options.replicas[0];
    this.workspace = {
      name: "inn",
      keys: ["k"],
      priority: 1,
      rate: options.rate,
      burst: options.rate,
      defaultCharge: 200,
      countsTokens: true,
    };
    for (const host of options.replicas) {
      this.#hubs.set(host, new Hub(`feed-${host}`));
    }
    this.#entries = Array.from(
      { length: options.entries },
      (_, host) => this.#createEntry(host),
    );
  }

  /** Lets time pass while callers ask for so many times the quota's rate. */
  async run(milliseconds: number, times: number): Promise<void> {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += STEP;
      await this.#options.advanceTimers(STEP);
      this.#owed += times * this.workspace.rate * STEP / 1000;
      while (this.#owed > 0) {
        this.#owed -= this.#ask();
      }
    }
  }

  /**
   * The most tokens that a window held beyond the quota, as a part of what is
   * tolerated beyond it.
   */
  get mostBeyond(): number {
    const quota = this.workspace.rate * WINDOW / 1000 + this.workspace.burst;
    const tolerated = OVERSHOOT * quota + TOLERANCE;
    let most = 0;
    let total = 0;
    let first = 0;
    for (const { at, amount } of this.grants) {
      total += amount;
      while (this.grants[first]!.at <= at - WINDOW) {
        total -= this.grants[first]!.amount;
        first += 1;
      }
      most = Math.max(most, total);
    }
    return (most - quota) / tolerated;
  }

  /** Tokens served from one moment to another, as a part of the rate. */
  servedOf(from: number, to: number): number {
    let total = 0;
    for (const { at, amount } of this.grants) {
      total += at >= from && at < to ? amount : 0;
    }
    return total * 1000 / (this.workspace.rate * (to - from));
  }

  close(): void {
    for (const { links, timer } of this.#entries) {
      links.stop();
      clearInterval(timer);
    }
  }

  #createEntry(host: number): SimulatedEntry {
    const quota = new WorkspaceQuota({
      isFresh: true,
      window: WINDOW,
      overshoot: OVERSHOOT,
      tolerance: TOLERANCE,
    });
    const links = new ControlLinks({
      pool: this.#poolOf(host),
      clock: { now: () => this.now, steady: () => this.now } as never,
      log: quiet,
      seeds: () => this.#options.replicas.map(String),
      describe: (known) => this.#describe(host, known),
      onReply: (reply) => charges.learn(reply),
      onIsolated: () => charges.isolate(),
      suspectRevision: () => 0,
      isWaiting: () => false,
      random: this.#random,
    });
    const charges = new ChargeSharing({
      entry: `e${host}`,
      boot: `b${host}`,
      quota,
      broadcast: (notice) => {
        for (const other of this.#entries) {
          void this.#notify(host, other, notice);
        }
      },
      answer: (notice, to) =>
        void this.#notify(host, this.#entries[Number(to)]!, notice),
      clock: { now: () => this.now, steady: () => this.now } as never,
      log: quiet,
      metrics,
      isConnected: () => links.isConnected,
      isOpen: () => true,
      countEntries: () => this.#options.entries,
    });
    links.start();
    const timer = setInterval(() => charges.share(), SHARE_INTERVAL);
    const charging = new QuotaCharging({
      quota,
      clock: { now: () => this.now, steady: () => this.now } as never,
      refresh: () => links.refresh(),
      report: () => links.report(),
    });
    return { host, quota, links, charges, charging, timer };
  }

  /** One datagram, lost where the hosts can't reach each other. */
  async #notify(
    from: number,
    to: SimulatedEntry,
    notice: ChargeNotice,
  ): Promise<void> {
    const copy = structuredClone(notice);
    if (to.host !== from && !this.isCut(from, to.host)) {
      await new Promise((resolve) => setTimeout(resolve, LATENCY));
      to.charges.receive(copy, String(from));
    }
  }

  #describe(host: number, known: FeedPosition): SyncRequest {
    return {
      entry: {
        name: `e${host}`,
        address: `${host}:1`,
        zone: "a",
        region: "r",
        boot: `b${host}`,
        isOpen: true,
      },
      wall: this.now,
      feed: known.feed,
      revision: known.revision,
      documentVersion: 1,
      takesChanges: true,
      loadsSince: known.loadsSince,
      ...known.report.build(known.feed, {
        spent: this.#entries[host]!.quota.spent(),
        readWork: {},
        usage: {},
      }),
      ...this.#entries[host]!.charges.describe(known.feed),
      readingSpeeds: {},
      loads: known.isPrimary ? {} : undefined,
    };
  }

  #poolOf(host: number): PeerPool {
    return {
      call: async (
        address: string,
        _method: string,
        options: { parameters: SyncRequest },
      ) => {
        const replica = Number(address);
        await this.#pass(host, replica);
        const reply = this.#hubs.get(replica)!.sync(options.parameters, {
          now: this.now,
          document: undefined,
          controls: this.#options.replicas.map(String),
          isLeading: replica === this.leader,
        });
        const copy = structuredClone(reply);
        await this.#pass(replica, host);
        return copy;
      },
    } as unknown as PeerPool;
  }

  /** One way of a call; fails where the hosts can't reach each other. */
  async #pass(from: number, to: number): Promise<void> {
    const isCut = from !== to && this.isCut(from, to);
    await new Promise((resolve) =>
      setTimeout(resolve, isCut ? CALL_TIMEOUT : LATENCY)
    );
    if (isCut) {
      throw new Error("Nobody answers.");
    }
  }

  /** One request at any entry; says what it asked for. */
  #ask(): number {
    const entry = this.#entries[
      Math.floor(this.#random() * this.#entries.length)
    ]!;
    let kind = this.#random();
    const { tokens } = MIX.find(({ part }) => (kind -= part) < 0) ?? MIX[0]!;
    const times = 0.4 + (MOST_TIMES - 0.4) * this.#random() ** 2;
    const amount = Math.round(tokens * times);
    void this.#charge(entry, amount);
    return amount;
  }

  async #charge(entry: SimulatedEntry, amount: number): Promise<void> {
    const { ok } = await entry.charging.charge(this.workspace, amount);
    if (ok) {
      this.grants.push({ at: this.now, amount });
    }
  }
}
