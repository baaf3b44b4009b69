import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import {
  CounterReport,
  Hub,
  type SyncReply,
  type SyncRequest,
  UpstreamBalancer,
  UpstreamDirectory,
  WorkspaceQuota,
} from "@heroncleat/serving";

const STEP: Milliseconds = 10;
/** Pause between two heartbeats of an upstream. */
const HEARTBEAT: Milliseconds = 1200;
const EXPIRE_INTERVAL: Milliseconds = 1000;
const USAGE_WINDOW: Milliseconds = 5000;
/** Tokens that a request is charged. */
const CHARGE = 4000;
/** Requests under way that an entry reports of one upstream. */
const MOST_UNDER_WAY = 3;
/** Upstreams at which one entry has something under way. */
const USED_UPSTREAMS = 4;

/** What an exchange is simulated with. */
type ExchangeOptions = {
  readonly entries: number;
  readonly upstreams: number;
  readonly workspaces: number;
  /** Requests that all entries together take in a second. */
  readonly requestsPerSecond: number;
  /** Pause between two exchanges of one entry. */
  readonly pause: Milliseconds;
};

/** Work and bytes since the last count. */
type Spent = {
  replicaSeconds: number;
  entrySeconds: number;
  replyBytes: number;
  requestBytes: number;
  calls: number;
};

/** One entry: what it reports, and what it does with a reply. */
type SimulatedEntry = {
  readonly name: string;
  boot: number;
  isOpen: boolean;
  feed: string;
  revision: number;
  loadsSince: number;
  report: CounterReport;
  documentVersion: number;
  nextAt: Milliseconds;
  spent: Record<string, number>;
  usage: Record<string, Record<string, number>>;
  readWork: number;
  directory: UpstreamDirectory;
  choice: UpstreamBalancer;
  quota: WorkspaceQuota;
};

/**
 * One control replica and all entries that exchange state with it, by the real
 * state machines in virtual time. Coding and decoding of messages count;
 * sockets don't.
 */
export class SimulatedExchange {
  readonly #options: ExchangeOptions;
  readonly #random: Random = createSeededRandom(7);
  readonly #entries: SimulatedEntry[];
  #hub = new Hub("feed-1");
  #feeds = 1;
  #sequence = 0;
  #version = 1;
  #now = 0;
  #owed = 0;
  #spent = nothingSpent();

  constructor(options: ExchangeOptions) {
    this.#options = options;
    this.#entries = Array.from(
      { length: options.entries },
      (_, place) => this.#createEntry(place),
    );
  }

  /** Lets time pass; every step may be given something to do. */
  run(milliseconds: Milliseconds, eachStep: () => void = () => {}): void {
    const until = this.#now + milliseconds;
    while (this.#now < until) {
      this.#now += STEP;
      eachStep();
      this.#serveCallers();
      this.#sendHeartbeats();
      if (this.#now % EXPIRE_INTERVAL === 0) {
        this.#ofReplica(() => this.#hub.expire(this.#now));
      }
      for (const entry of this.#entries) {
        if (entry.nextAt <= this.#now) {
          entry.nextAt += this.#options.pause;
          this.#exchange(entry);
        }
      }
    }
  }

  /** What was spent since the last call. */
  take(): Spent {
    const spent = this.#spent;
    this.#spent = nothingSpent();
    return spent;
  }

  /** Starts all entries anew within a time. */
  restartEntries(within: Milliseconds): void {
    for (const [place, entry] of this.#entries.entries()) {
      const at = this.#now + within * place / this.#entries.length;
      this.#restart(entry, at);
    }
  }

  /** Loses the replica's memory, too, as where all power goes. */
  losePower(within: Milliseconds): void {
    this.#feeds += 1;
    this.#hub = new Hub(`feed-${this.#feeds}`);
    this.restartEntries(within);
  }

  /** Puts a new document in force. */
  changeDocument(): void {
    this.#version += 1;
  }

  #createEntry(place: number): SimulatedEntry {
    return {
      name: `entry-${place}`,
      boot: 1,
      isOpen: true,
      feed: "",
      revision: 0,
      loadsSince: 0,
      report: new CounterReport(),
      documentVersion: -1,
      nextAt: this.#options.pause * place / this.#options.entries,
      spent: {},
      usage: {},
      readWork: 0,
      ...this.#createState(),
    };
  }

  #createState() {
    return {
      directory: new UpstreamDirectory(),
      choice: new UpstreamBalancer(),
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
      report: new CounterReport(),
      documentVersion: -1,
      nextAt: at,
      spent: {},
      usage: {},
      readWork: 0,
      ...this.#createState(),
    });
  }

  #serveCallers(): void {
    const { requestsPerSecond, workspaces } = this.#options;
    this.#owed += requestsPerSecond * STEP / 1000;
    for (; this.#owed >= 1; this.#owed -= 1) {
      const place = Math.floor(this.#random() * this.#entries.length);
      const entry = this.#entries[place]!;
      // Few workspaces make most of the load.
      const workspace = `workspace-${
        Math.floor(this.#random() ** 2 * workspaces)
      }`;
      const window = String(Math.floor(this.#now / USAGE_WINDOW));
      const counts = entry.usage[window] ??= {};
      counts[workspace] = (counts[workspace] ?? 0) + 1;
      entry.spent[workspace] = (entry.spent[workspace] ?? 0) + CHARGE;
      entry.readWork += 60;
    }
  }

  /** Each upstream's heartbeat comes once in its interval, one by one. */
  #sendHeartbeats(): void {
    const { upstreams } = this.#options;
    const before = Math.floor((this.#now - STEP) * upstreams / HEARTBEAT);
    const until = Math.floor(this.#now * upstreams / HEARTBEAT);
    for (let place = before; place < until; place += 1) {
      this.#sequence += 1;
      this.#ofReplica(() =>
        this.#hub.mergeUpstream({
          id: `upstream-${place % upstreams}`,
          name: `upstream-${place % upstreams}`,
          born: 1_000_000,
          service: "writers",
          address: `10.1.${Math.floor(place % upstreams / 250)}.${
            place % upstreams % 250
          }:8000`,
          zone: `zone-${place % upstreams % 6}`,
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
    const request = this.#ofEntry(() => JSON.stringify(this.#describe(entry)));
    const reply = this.#ofReplica(() =>
      JSON.stringify(
        this.#hub.sync(JSON.parse(request) as SyncRequest, {
          now: this.#now,
          document: {
            version: this.#version,
            source: `{"version":${this.#version}}`,
          },
          controls: ["10.1.0.1:7600", "10.2.0.1:7600", "10.3.0.1:7600"],
          isLeading: true,
        }),
      )
    );
    this.#ofEntry(() => this.#learn(entry, JSON.parse(reply) as SyncReply));
    this.#spent.calls += 1;
    this.#spent.requestBytes += request.length;
    this.#spent.replyBytes += reply.length;
  }

  #describe(entry: SimulatedEntry): SyncRequest {
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
      loadsSince: entry.loadsSince,
      ...entry.report.build(feed, {
        spent: { ...entry.spent },
        readWork: { writers: entry.readWork },
        usage: structuredClone(entry.usage),
      }),
      readingSpeeds: { writers: 1 + boot / 100 },
      loads: this.#drawLoads(),
    };
  }

  #drawLoads(): Record<string, { requests: number; backlog: number }> {
    const loads: Record<string, { requests: number; backlog: number }> = {};
    for (let used = 0; used < USED_UPSTREAMS; used += 1) {
      const place = Math.floor(this.#random() * this.#options.upstreams);
      loads[`upstream-${place}`] = {
        requests: 1 + Math.floor(this.#random() * MOST_UNDER_WAY),
        backlog: Math.floor(this.#random() * 100),
      };
    }
    return loads;
  }

  #learn(entry: SimulatedEntry, reply: SyncReply): void {
    entry.feed = reply.feed;
    entry.revision = reply.revision;
    entry.loadsSince = reply.revision;
    entry.report.handleReply(reply);
    if (reply.document !== undefined) {
      entry.documentVersion = this.#version;
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
      entry.choice.applyLoadChanges(loads, this.#now);
    } else {
      entry.choice.replaceReportedLoads(loads, this.#now);
    }
    entry.quota.applyCharges(reply.feed, {
      spent: reply.spentByOthers,
      share: shared?.quotaShare ?? 1,
      entries: this.#entries.length,
      now: this.#now,
    });
  }

  #ofReplica<Result>(work: () => Result): Result {
    const startedAt = performance.now();
    const result = work();
    this.#spent.replicaSeconds += (performance.now() - startedAt) / 1000;
    return result;
  }

  #ofEntry<Result>(work: () => Result): Result {
    const startedAt = performance.now();
    const result = work();
    this.#spent.entrySeconds += (performance.now() - startedAt) / 1000;
    return result;
  }
}

function nothingSpent(): Spent {
  return {
    replicaSeconds: 0,
    entrySeconds: 0,
    replyBytes: 0,
    requestBytes: 0,
    calls: 0,
  };
}
