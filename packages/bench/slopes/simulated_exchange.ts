import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import {
  CounterReport,
  followedShare,
  type FollowedShares,
  Hub,
  type SyncReply,
  type SyncRequest,
  UpstreamBalancer,
  UpstreamDirectory,
  WorkspaceQuota,
} from "@heroncleat/serving";

const STEP: Milliseconds = 10;
const HEARTBEAT_INTERVAL: Milliseconds = 1200;
const EXPIRE_INTERVAL: Milliseconds = 1000;
const USAGE_WINDOW: Milliseconds = 5000;
/** Tokens charged per request. */
const CHARGE_TOKENS = 4000;
/**
 * Maximum number of in-flight requests that an entry reports for one upstream.
 */
const MAX_IN_FLIGHT = 3;
/** Number of upstreams at which one entry has requests in flight. */
const USED_UPSTREAM_COUNT = 4;

type ExchangeOptions = {
  readonly entries: number;
  readonly upstreams: number;
  readonly workspaces: number;
  /** Request rate of all entries together. */
  readonly requestsPerSecond: number;
  /** Interval between two exchanges of one entry. */
  readonly interval: Milliseconds;
};

/** Processor time and bytes since the last reading. */
type ExchangeUsage = {
  replicaSeconds: number;
  entrySeconds: number;
  replyBytes: number;
  requestBytes: number;
  calls: number;
};

/** State that an entry reports in an exchange or updates from its replies. */
type SimulatedEntry = {
  readonly name: string;
  boot: number;
  isOpen: boolean;
  feed: string;
  revision: number;
  loadsSince: number;
  followed: FollowedShares;
  report: CounterReport;
  documentVersion: number;
  nextExchangeAt: Milliseconds;
  spent: Record<string, number>;
  usage: Record<string, Record<string, number>>;
  readWork: number;
  directory: UpstreamDirectory;
  balancer: UpstreamBalancer;
  quota: WorkspaceQuota;
};

/**
 * Runs the state machines of one control replica and of the entries that
 * exchange state with it, in virtual time. The measured processor time includes
 * encoding and decoding messages, but no sockets.
 */
export class SimulatedExchange {
  readonly #options: ExchangeOptions;
  readonly #random: Random = createSeededRandom(7);
  readonly #entries: SimulatedEntry[];
  #hub = new Hub("feed-1");
  #feedCount = 1;
  #sequence = 0;
  #documentVersion = 1;
  #now = 0;
  #pendingRequests = 0;
  #usage = createEmptyUsage();

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.#entries = Array.from(
      { length: options.entries },
      (_, index) => this.#createEntry(index),
    );
  }

  /** Advances the simulated time; `onStep` runs at every step. */
  run(milliseconds: Milliseconds, onStep: () => void = () => {}): void {
    const until = this.#now + milliseconds;
    while (this.#now < until) {
      this.#now += STEP;
      onStep();
      this.#serveCallers();
      this.#sendHeartbeats();
      if (this.#now % EXPIRE_INTERVAL === 0) {
        this.#timeReplica(() => this.#hub.expire(this.#now));
      }
      for (const entry of this.#entries) {
        if (entry.nextExchangeAt <= this.#now) {
          entry.nextExchangeAt += this.#options.interval;
          this.#exchange(entry);
        }
      }
    }
  }

  /** Returns the usage since the last call and resets it. */
  takeUsage(): ExchangeUsage {
    const usage = this.#usage;
    this.#usage = createEmptyUsage();
    return usage;
  }

  /** Restarts all entries at even intervals within a time. */
  restartEntries(within: Milliseconds): void {
    for (const [index, entry] of this.#entries.entries()) {
      const at = this.#now + within * index / this.#entries.length;
      this.#restart(entry, at);
    }
  }

  /**
   * Restarts the control replica without its state, and all entries, as after a
   * power failure.
   */
  restartDeployment(within: Milliseconds): void {
    this.#feedCount += 1;
    this.#hub = new Hub(`feed-${this.#feedCount}`);
    this.restartEntries(within);
  }

  /** Activates a new version of the configuration document. */
  changeDocument(): void {
    this.#documentVersion += 1;
  }

  #createEntry(index: number): SimulatedEntry {
    return {
      name: `entry-${index}`,
      boot: 1,
      isOpen: true,
      feed: "",
      revision: 0,
      loadsSince: 0,
      followed: {},
      report: new CounterReport(),
      documentVersion: -1,
      nextExchangeAt: this.#options.interval * index / this.#options.entries,
      spent: {},
      usage: {},
      readWork: 0,
      ...this.#createState(),
    };
  }

  #createState() {
    return {
      directory: new UpstreamDirectory(),
      balancer: new UpstreamBalancer(),
      quota: new WorkspaceQuota({
        isFresh: true,
        window: 8000,
        overshoot: 0.1,
        tolerance: 190_000,
      }),
    };
  }

  #restart(entry: SimulatedEntry, at: Milliseconds): void {
    const { boot } = entry;
    Object.assign(entry, {
      boot: boot + 1,
      feed: "",
      revision: 0,
      loadsSince: 0,
      followed: {},
      report: new CounterReport(),
      documentVersion: -1,
      nextExchangeAt: at,
      spent: {},
      usage: {},
      readWork: 0,
      ...this.#createState(),
    });
  }

  #serveCallers(): void {
    const { requestsPerSecond, workspaces } = this.#options;
    this.#pendingRequests += requestsPerSecond * STEP / 1000;
    for (; this.#pendingRequests >= 1; this.#pendingRequests -= 1) {
      const index = Math.floor(this.#random() * this.#entries.length);
      const entry = this.#entries[index]!;
      // Squaring skews the load towards the first workspaces.
      const workspace = `workspace-${
        Math.floor(this.#random() ** 2 * workspaces)
      }`;
      const window = String(Math.floor(this.#now / USAGE_WINDOW));
      const counts = entry.usage[window] ??= {};
      counts[workspace] = (counts[workspace] ?? 0) + 1;
      entry.spent[workspace] = (entry.spent[workspace] ?? 0) + CHARGE_TOKENS;
      entry.readWork += 60;
    }
  }

  /**
   * Sends one heartbeat per upstream and interval, spread evenly over the
   * interval.
   */
  #sendHeartbeats(): void {
    const { upstreams } = this.#options;
    const before = Math.floor(
      (this.#now - STEP) * upstreams / HEARTBEAT_INTERVAL,
    );
    const until = Math.floor(this.#now * upstreams / HEARTBEAT_INTERVAL);
    for (let index = before; index < until; index += 1) {
      this.#sequence += 1;
      this.#timeReplica(() =>
        this.#hub.mergeUpstream({
          id: `upstream-${index % upstreams}`,
          name: `upstream-${index % upstreams}`,
          born: 1_000_000,
          service: "writers",
          address: `10.1.${Math.floor(index % upstreams / 250)}.${
            index % upstreams % 250
          }:8000`,
          zone: `zone-${index % upstreams % 6}`,
          slots: 64,
          sequence: this.#sequence,
          state: "ready",
          isSpot: true,
          leavesIn: undefined,
        }, this.#now)
      );
    }
  }

  #exchange(entry: SimulatedEntry): void {
    const request = this.#timeEntry(() =>
      JSON.stringify(this.#buildRequest(entry))
    );
    const reply = this.#timeReplica(() =>
      JSON.stringify(
        this.#hub.sync(JSON.parse(request) as SyncRequest, {
          now: this.#now,
          document: {
            version: this.#documentVersion,
            source: `{"version":${this.#documentVersion}}`,
          },
          controls: ["10.1.0.1:7600", "10.2.0.1:7600", "10.3.0.1:7600"],
          isLeading: true,
        }),
      )
    );
    this.#timeEntry(() =>
      this.#applyReply(entry, JSON.parse(reply) as SyncReply)
    );
    this.#usage.calls += 1;
    this.#usage.requestBytes += request.length;
    this.#usage.replyBytes += reply.length;
  }

  #buildRequest(entry: SimulatedEntry): SyncRequest {
    const { name, boot, isOpen, feed, revision, documentVersion } = entry;
    return {
      entry: {
        name,
        boot: `${name}-${boot}`,
        address: `${name}:8221`,
        zone: "zone-1",
        region: "region",
        isOpen,
      },
      wall: 1_700_000_000_000 + this.#now,
      feed,
      revision,
      documentVersion,
      takesChanges: true,
      followed: entry.followed,
      loadsSince: entry.loadsSince,
      ...entry.report.build(feed, {
        spent: { ...entry.spent },
        readWork: { writers: entry.readWork },
        usage: structuredClone(entry.usage),
      }),
      readingSpeeds: { writers: 1 + boot / 100 },
      loads: this.#drawLoads(entry),
    };
  }

  #drawLoads(
    entry: SimulatedEntry,
  ): Record<string, { requests: number; backlog: number }> {
    const loads: Record<string, { requests: number; backlog: number }> = {};
    const listed = [...entry.directory.list()];
    for (let used = 0; used < USED_UPSTREAM_COUNT; used += 1) {
      const index = Math.floor(this.#random() * listed.length);
      const id = listed[index]?.record.id;
      if (id === undefined) {
        break;
      }
      loads[id] = {
        requests: 1 + Math.floor(this.#random() * MAX_IN_FLIGHT),
        backlog: Math.floor(this.#random() * 100),
      };
    }
    return loads;
  }

  #applyReply(entry: SimulatedEntry, reply: SyncReply): void {
    this.#applyShares(entry, reply);
    entry.feed = reply.feed;
    entry.revision = reply.revision;
    entry.loadsSince = reply.revision;
    entry.report.handleReply(reply);
    if (reply.document !== undefined) {
      entry.documentVersion = this.#documentVersion;
    }
    const ages = reply.ages ?? {};
    for (const record of reply.upstreams) {
      const age = ages[record.id] ?? 0;
      entry.directory.merge(record, this.#now, { reporter: "", age });
    }
    const { shared } = reply;
    for (const [id, sequence] of Object.entries(shared?.beats ?? {})) {
      const age = ages[id] ?? 0;
      entry.directory.refresh(id, this.#now, { sequence, reporter: "", age });
    }
    const loads = shared?.loadsOfOthers ?? {};
    if (shared?.areLoadsPartial) {
      entry.balancer.applyLoadChanges(loads, this.#now);
    } else {
      entry.balancer.replaceReportedLoads(loads, this.#now);
    }
    entry.quota.applyCharges(reply.feed, {
      spent: reply.spentByOthers,
      share: shared?.quotaShare ?? 1,
      entries: this.#entries.length,
      now: this.#now,
    });
  }

  #applyShares(entry: SimulatedEntry, { feed, followed }: SyncReply): void {
    if (followed === undefined && feed === entry.feed) {
      return;
    }
    entry.followed = followed ?? {};
    const { name } = entry;
    const shares = entry.followed;
    entry.directory.limit((upstream) =>
      followedShare.includes(name, upstream.name, shares[upstream.service] ?? 1)
    );
  }

  #timeReplica<Result>(work: () => Result): Result {
    const startedAt = performance.now();
    const result = work();
    this.#usage.replicaSeconds += (performance.now() - startedAt) / 1000;
    return result;
  }

  #timeEntry<Result>(work: () => Result): Result {
    const startedAt = performance.now();
    const result = work();
    this.#usage.entrySeconds += (performance.now() - startedAt) / 1000;
    return result;
  }
}

function createEmptyUsage(): ExchangeUsage {
  return {
    replicaSeconds: 0,
    entrySeconds: 0,
    replyBytes: 0,
    requestBytes: 0,
    calls: 0,
  };
}
