import { type Clock, createSeededRandom, type Random } from "@heroncleat/base";
import {
  type SyncRequest,
  type Workspace,
  WorkspaceQuota,
} from "@heroncleat/serving";
import type { ChargeNotice } from "@heroncleat/schema";
import { ChargeSync } from "../exchange/charge_sync.ts";
import { QuotaCharger } from "./quota_charger.ts";
import { ControlLinks } from "../exchange/control_links.ts";
import type { FeedPosition } from "../exchange/feed_position.ts";
import { SimulatedReplicas } from "../exchange/simulated_replicas.ts";

const STEP_MS = 10;
const WINDOW_MS = 8000;
const OVERSHOOT_SHARE = 0.1;
/** Tokens tolerated per window in addition to the overshoot share. */
const TOLERANCE_TOKENS = 190_000;
/** Shares of a workspace's requests by kind, with their typical charges. */
const REQUEST_MIX = [
  { part: 0.27, tokens: 17_000 },
  { part: 0.12, tokens: 9200 },
  { part: 0.34, tokens: 1500 },
  { part: 0.27, tokens: 200 },
];
/** Size of the largest requests, as a multiple of the typical size. */
const MAX_SIZE_FACTOR = 2.4;
/** Interval of direct exchanges while no control replica is reachable. */
const DIRECT_EXCHANGE_INTERVAL_MS = 200;
const noMetrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const silentLog = { debug() {}, info() {}, warn() {}, error() {} };

type SimulatedEntry = {
  readonly host: number;
  readonly quota: WorkspaceQuota;
  readonly links: ControlLinks;
  readonly charges: ChargeSync;
  readonly charger: QuotaCharger;
  readonly timer: NodeJS.Timeout;
};

/** A request that the quota admitted. */
type Grant = { readonly at: number; readonly amount: number };

type SimulationOptions = {
  readonly entries: number;
  /** Hosts that also run a control replica. */
  readonly replicas: readonly number[];
  /** Tokens per second of the workspace; its burst is one second's worth. */
  readonly rate: number;
  readonly seed: number;
  readonly advanceTimers: (milliseconds: number) => Promise<void>;
};

/**
 * Simulates entries that share a workspace's quota through real control
 * replicas, in virtual time. Any pair of hosts can be partitioned from each
 * other.
 */
export class SimulatedQuotas {
  readonly workspace: Workspace;
  readonly grants: Grant[] = [];
  /** The control replicas and the network to them. */
  readonly network: SimulatedReplicas;
  readonly #options: SimulationOptions;
  readonly #random: Random;
  readonly #entries: SimulatedEntry[];
  #unsentTokens = 0;

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.network = new SimulatedReplicas(options.replicas);
    this.workspace = {
      name: "inn",
      keys: ["k"],
      priority: 1,
      rate: options.rate,
      burst: options.rate,
      defaultCharge: 200,
      countsTokens: true,
    };
    this.#entries = Array.from(
      { length: options.entries },
      (_, host) => this.#createEntry(host),
    );
  }

  /**
   * Advances time while callers request the given multiple of the quota's rate.
   */
  async run(milliseconds: number, loadFactor: number): Promise<void> {
    const until = this.network.now + milliseconds;
    while (this.network.now < until) {
      this.network.now += STEP_MS;
      await this.#options.advanceTimers(STEP_MS);
      this.#unsentTokens += loadFactor * this.workspace.rate * STEP_MS / 1000;
      while (this.#unsentTokens > 0) {
        this.#unsentTokens -= this.#sendRequest();
      }
    }
  }

  /**
   * Largest amount of tokens beyond the quota in any window, as a share of the
   * tolerated excess.
   */
  get maxExcessShare(): number {
    const quota = this.workspace.rate * WINDOW_MS / 1000 + this.workspace.burst;
    const tolerated = OVERSHOOT_SHARE * quota + TOLERANCE_TOKENS;
    let maxTokens = 0;
    let total = 0;
    let first = 0;
    for (const { at, amount } of this.grants) {
      total += amount;
      while (this.grants[first]!.at <= at - WINDOW_MS) {
        total -= this.grants[first]!.amount;
        first += 1;
      }
      maxTokens = Math.max(maxTokens, total);
    }
    return (maxTokens - quota) / tolerated;
  }

  /** Returns the tokens served in a time range, as a share of the rate. */
  servedShare(from: number, to: number): number {
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
      window: WINDOW_MS,
      overshoot: OVERSHOOT_SHARE,
      tolerance: TOLERANCE_TOKENS,
    });
    const clock = { steady: () => this.network.now } as Clock;
    const links = new ControlLinks({
      isUsableEntry: () => true,
      pool: this.network.poolOf(host),
      clock,
      log: silentLog,
      seeds: () => this.#options.replicas.map(String),
      createRequest: (position) => this.#createRequest(host, position),
      onReply: (reply) => charges.applyReply(reply),
      onIsolated: () => charges.isolate(),
      onFollow: () => {},
      suspectRevision: () => 0,
      isAwaitingConfiguration: () => false,
      random: this.#random,
    });
    const charges = new ChargeSync({
      entry: `e${host}`,
      boot: `b${host}`,
      quota,
      broadcast: (notice) => {
        for (const other of this.#entries) {
          void this.#sendDatagram(host, other, notice);
        }
      },
      reply: (notice, to) =>
        void this.#sendDatagram(host, this.#entries[Number(to)]!, notice),
      clock,
      log: silentLog,
      metrics: noMetrics,
      isConnected: () => links.isConnected,
      isOpen: () => true,
      countEntries: () => this.#options.entries,
      routeTable: () => ({ isQuotaBucket: () => true }),
    });
    links.start();
    const timer = setInterval(
      () => charges.exchangeDirectly(),
      DIRECT_EXCHANGE_INTERVAL_MS,
    );
    const charger = new QuotaCharger({
      quota,
      clock,
      refresh: () => links.refresh(),
      report: () => links.reportToPrimary(),
    });
    return { host, quota, links, charges, charger, timer };
  }

  async #sendDatagram(
    from: number,
    to: SimulatedEntry,
    notice: ChargeNotice,
  ): Promise<void> {
    const copy = structuredClone(notice);
    if (to.host !== from) {
      await this.network.sendDatagram(
        { from, to: to.host },
        () => to.charges.receive(copy, String(from)),
      );
    }
  }

  #createRequest(host: number, position: FeedPosition): SyncRequest {
    return {
      entry: {
        name: `e${host}`,
        address: `${host}:1`,
        zone: "a",
        region: "r",
        boot: `b${host}`,
        isOpen: true,
      },
      wall: this.network.now,
      feed: position.feed,
      revision: position.revision,
      documentVersion: 1,
      takesChanges: true,
      loadsSince: position.loadsSince,
      ...position.report.build(position.feed, {
        spent: this.#entries[host]!.quota.spent(),
        readWork: {},
        usage: {},
      }),
      ...this.#entries[host]!.charges.buildRelayFields(position.feed),
      readingSpeeds: {},
      loads: position.isPrimary ? {} : undefined,
    };
  }

  /**
   * Sends a request of random size to a random entry and returns its charge.
   */
  #sendRequest(): number {
    const entry = this.#entries[
      Math.floor(this.#random() * this.#entries.length)
    ]!;
    let kind = this.#random();
    const { tokens } = REQUEST_MIX.find(({ part }) => (kind -= part) < 0) ??
      REQUEST_MIX[0]!;
    const sizeFactor = 0.4 + (MAX_SIZE_FACTOR - 0.4) * this.#random() ** 2;
    const amount = Math.round(tokens * sizeFactor);
    void this.#charge(entry, amount);
    return amount;
  }

  async #charge(entry: SimulatedEntry, amount: number): Promise<void> {
    const { ok } = await entry.charger.charge(this.workspace, amount);
    if (ok) {
      this.grants.push({ at: this.network.now, amount });
    }
  }
}
