import {
  isConnectableAddress,
  type Milliseconds,
  ownValue,
  RateLimiter,
  splitAddress,
} from "@heroncleat/base";
import {
  documentCodec,
  drainAgeOf,
  ENTRY_RETENTION,
  type KnownEntry,
  RecentMaximum,
  type SharedState,
  type SyncReply,
  type SyncRequest,
  type UpdateSource,
  type UpstreamRecord,
} from "@heroncleat/serving";
import type { FeedPosition } from "./feed_position.ts";
import { isUsableEntry } from "./is_usable_entry.ts";
import { undefinedIfEmpty } from "./undefined_if_empty.ts";
import type { EntryExchangeOptions } from "./entry_exchange_options.ts";

/**
 * Time for which the largest number of entries counts after replicas list
 * fewer.
 */
const ENTRY_COUNT_WINDOW: Milliseconds = 10_000;

/** Limits text from other processes in log lines. */
const MAX_LOGGED_CHARACTERS = 200;
/** Limit of lines about entries that can't be used. */
const LINES_PER_SECOND = 1;
const LINE_BURST = 5;

/** Builds the sync requests to control replicas and applies their replies. */
export class EntryExchange {
  readonly #options: EntryExchangeOptions;
  /**
   * Open entries as of the last reply, used while no control replica is
   * reachable.
   */
  #entries: readonly KnownEntry[] = [];
  readonly #entryCount = new RecentMaximum(1, ENTRY_COUNT_WINDOW);
  /** Also entries that may be cut off and use their part of rate limits. */
  readonly #sharingEntryCount = new RecentMaximum(1, ENTRY_RETENTION);
  #peers: readonly string[] = [];
  readonly #lineLimiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST);

  constructor(options: EntryExchangeOptions) {
    this.#options = options;
  }

  /** Number of entries that share quotas. */
  get entryCount(): number {
    return this.#entryCount.value;
  }

  /** Hosts of the other entries. */
  get peers(): readonly string[] {
    return this.#peers;
  }

  /**
   * Lists this entry and those of the last reply that still report their
   * charges to it directly.
   */
  listReachableEntries(): KnownEntry[] {
    const { settings, charges } = this.#options;
    const { name, address, zone, region } = settings();
    const others = this.#entries.filter((entry) =>
      entry.name !== name && charges.isReachable(entry.name)
    );
    return [{ name, address, zone, region }, ...others];
  }

  /** Creates the sync request for one control replica. */
  createRequest(position: FeedPosition): SyncRequest {
    const {
      clock,
      boot,
      quota,
      choice,
      usage,
      charges,
      suspectRegistry,
    } = this.#options;
    const { name, address, zone, region } = this.#options.settings();
    return {
      entry: {
        name,
        address,
        zone,
        region,
        boot,
        isOpen: this.#options.isOpen(),
        unreachable: undefinedIfEmpty(this.#options.listUnreachable()),
      },
      wall: clock.wall(),
      feed: position.feed,
      revision: position.revision,
      followed: position.followed,
      takesChanges: true,
      loadsSince: position.loadsSince,
      documentVersion: this.#options.documentVersion(),
      ...position.report.build(position.feed, {
        spent: quota.spent(),
        readWork: choice.prefillWork(),
        usage: usage.list(),
      }),
      ...charges.buildRelayFields(position.feed),
      suspects: undefinedIfEmpty(
        suspectRegistry.changesSince(
          position.suspectsSentRevision,
          clock.steady(),
        ),
      ),
      rateLimits: undefinedIfEmpty(
        this.#options.rateLimits.changesSince(position.suspectsSentRevision),
      ),
      readingSpeeds: choice.prefillSpeeds.measured(),
      rolloutRevision: this.#options.rollouts.revision,
      versions: position.isPrimary
        ? this.#options.rollouts.report()
        : undefined,
      loads: position.isPrimary ? choice.loads(clock.steady()) : undefined,
      demand: position.isPrimary
        ? this.#options.shedder.report(clock.steady())
        : undefined,
    };
  }

  /**
   * Applies the reply of a control replica.
   *
   * @param source.from host:port of the replica.
   * @param source.transit Time since the exchange began.
   */
  applyReply(
    reply: SyncReply,
    { from, transit }: { from: string; transit: Milliseconds },
  ): void {
    const { clock, charges, onDocument } = this.#options;
    const now = clock.steady();
    const ages = reply.ages ?? {};
    // Rollouts come first, as they say which upstreams may get requests.
    if (reply.rollouts !== undefined) {
      this.#options.rollouts.merge(reply.rollouts);
    }
    this.#applyVersions(reply, from);
    for (const record of reply.upstreams) {
      if (!this.#isUsable(record, from)) {
        this.#removeEarlierStarts(record, { now, reporter: from });
        continue;
      }
      const age = ownValue(ages, record.id) ?? 0;
      const drainAge = drainAgeOf(record, { ...reply, transit });
      this.#applyUpstream(record, now, { reporter: from, age, drainAge });
    }
    if (reply.upstreams.length > 0) {
      this.#carryOverRests(now);
      this.#retireReplacedInstances();
    }
    this.#applyEntries(now);
    this.#extendRetryShare(reply, now);
    if (reply.document !== undefined) {
      onDocument(documentCodec.decode(reply.document));
    }
    charges.applyReply(reply);
    this.#options.crashes.mergeReports(reply.suspects ?? []);
    this.#options.rateLimitWatcher.mergeReports(reply.rateLimits ?? []);
    if (reply.shared !== undefined) {
      const isIssuing = reply.shared.issuesPermits === true;
      this.#options.permits.recordPrimary({ isIssuing, now });
      this.#applySharedState(reply.shared, { reporter: from, ages });
    }
  }

  #applyVersions({ versions, rollouts }: SyncReply, from: string): void {
    const { clock, possibleOrigins, streams } = this.#options;
    possibleOrigins.applyReply(from, versions, clock.steady());
    if (versions !== undefined || rollouts !== undefined) {
      streams.shareNewlyAmbiguous();
    }
  }

  /**
   * Merges an upstream record. A change to a state other than `ready` is
   * logged, to be compared with the log lines of the replicas.
   */
  #applyUpstream(
    record: UpstreamRecord,
    now: Milliseconds,
    source: UpdateSource,
  ): void {
    const { directory, log } = this.#options;
    const outcome = directory.merge(record, now, source);
    const known = directory.get(record.id);
    if (known !== undefined) {
      this.#options.rollouts.observe(known, now);
    }
    if (outcome === "changed" && record.state !== "ready") {
      log.info(`Received a report that an upstream is ${record.state}`, {
        upstream: record.id,
        by: source.reporter,
      });
    }
  }

  /**
   * Whether an upstream can be connected to, or is gone. Replicas of other
   * releases may accept addresses for which that isn't so. Such a record costs
   * its upstream the requests, and the rest of the reply nothing.
   */
  #isUsable(record: UpstreamRecord | null, reporter: string): boolean {
    const { log, metrics } = this.#options;
    const address = String(record?.address);
    if (record?.state === "gone" || isConnectableAddress(address)) {
      return true;
    }
    const id = String(record?.id);
    metrics.increment("upstream_records.unusable_address");
    log.warn("An upstream has an address that can't be connected to", {
      upstream: id.slice(0, MAX_LOGGED_CHARACTERS),
      address: address.slice(0, MAX_LOGGED_CHARACTERS),
      by: reporter,
    });
    return false;
  }

  /** Whether an entry that a replica lists can be used; logs it if not. */
  isUsableEntry(entry: KnownEntry | null, reporter: string): boolean {
    if (isUsableEntry(entry)) {
      return true;
    }
    const { clock, log, metrics } = this.#options;
    metrics.increment("entry_records.unusable");
    if (this.#lineLimiter.tryConsume(clock.steady())) {
      log.warn("An entry has a name or an address that can't be used", {
        entry: String(entry?.name).slice(0, MAX_LOGGED_CHARACTERS),
        address: String(entry?.address).slice(0, MAX_LOGGED_CHARACTERS),
        by: reporter,
      });
    }
    return false;
  }

  /** Removes instances that a later start of the same upstream has replaced. */
  #removeEarlierStarts(
    later: UpstreamRecord | null,
    { now, reporter }: { now: Milliseconds; reporter: string },
  ): void {
    const { directory } = this.#options;
    for (const { record } of [...directory.list()]) {
      if (
        record.name === later?.name && record.id !== later.id &&
        (record.born ?? 0) < (later.born ?? 0)
      ) {
        directory.remove(record.id, now, { reporter, age: 0 });
      }
    }
  }

  /** Only the leading replica knows all entries that hold a share. */
  #extendRetryShare(reply: SyncReply, now: Milliseconds): void {
    if (reply.isLeading) {
      const sharing = Math.max(reply.sharingEntries ?? 1, this.#entries.length);
      this.#options.retryShare.recordContact(sharing, now);
    }
  }

  #applyEntries(now: Milliseconds): void {
    const entries = this.#options.listEntries();
    if (entries !== this.#entries) {
      this.#entries = entries;
      this.#peers = this.#hostsOf(entries);
    }
    this.#entryCount.record(entries.length, now);
    this.#sharingEntryCount.record(entries.length, now);
    this.#options.permits.setEntries(
      entries.map(({ name }) => name),
      this.#sharingEntryCount.value,
    );
  }

  /** Applies rests recorded under an earlier instance to its replacement. */
  #carryOverRests(now: Milliseconds): void {
    const { directory, statements, log } = this.#options;
    for (const from of [...statements.listResting(now)]) {
      const replaced = directory.get(from)?.record;
      const next = directory.findReplacement(from)?.record;
      if (next === undefined || next.address !== replaced?.address) {
        continue;
      }
      if (statements.carryOverRest({ from, to: next.id }, now)) {
        log.info("A restarted upstream rests", { upstream: next.id });
      }
    }
  }

  /**
   * Retires the connections to upstream instances that were replaced by a newer
   * instance. Those in use stay open, as late heartbeats may make a running
   * instance look replaced; then it hasn't crashed either.
   */
  #retireReplacedInstances(): void {
    const { directory, agents, crashes, log } = this.#options;
    const isOver = (id: string) => directory.isReplaced(id);
    for (const id of agents.retireWhere(isOver)) {
      if (directory.hasRestarted(id)) {
        crashes.recordCrash(id);
        log.info("An upstream has restarted", { upstream: id });
      } else {
        log.info("An upstream may be an earlier start", { upstream: id });
      }
    }
  }

  #applySharedState(
    shared: SharedState,
    { reporter, ages }: {
      reporter: string;
      ages: Readonly<Record<string, Milliseconds>>;
    },
  ): void {
    const { clock, directory, choice } = this.#options;
    const now = clock.steady();
    for (const [id, sequence] of Object.entries(shared.beats)) {
      const age = ownValue(ages, id) ?? 0;
      directory.refresh(id, now, { sequence, reporter, age });
    }
    if (shared.areLoadsPartial) {
      choice.applyLoadChanges(shared.loadsOfOthers, now);
    } else {
      choice.replaceReportedLoads(shared.loadsOfOthers, now);
    }
    choice.prefillSpeeds.setReported(shared.readingSpeeds);
    this.#options.shedder.applyTotals(shared.demand ?? {}, now);
  }

  #hostsOf(entries: readonly KnownEntry[]): string[] {
    const own = this.#options.settings().address;
    return entries.filter(({ address }) => address !== own)
      .map(({ address }) => splitAddress(address).host);
  }
}
