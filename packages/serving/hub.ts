import { type Milliseconds, ownValue } from "@heroncleat/base";
import type {
  Rollout,
  RolloutRegistry,
  VersionReport,
} from "@heroncleat/rollouts";
import type { DemandReport } from "@heroncleat/shedding";
import { ChargeTotals } from "./charge_totals.ts";
import { drainAgeOf } from "./drain_age_of.ts";
import { SuspectRegistry } from "./suspect_registry.ts";
import { ChargeAggregator } from "./charge_aggregator.ts";
import { DemandTotals } from "./demand_totals.ts";
import { DocumentSender } from "./document_sender.ts";
import { FollowedUpstreams } from "./followed_upstreams.ts";
import { exchangeInterval } from "./exchange_interval.ts";
import { ENTRY_RETENTION } from "./entry_retention.ts";
import { EntryMedians } from "./entry_medians.ts";
import type { FollowedShares } from "./followed_share.ts";
import type { FeedReply } from "./feed_reply.ts";
import type { FeedRequest } from "./feed_request.ts";
import type { KnownEntry } from "./known_entry.ts";
import { LoadTotals } from "./load_totals.ts";
import { OpenEntries } from "./open_entries.ts";
import { PermitAuthority } from "./permit_authority.ts";
import type { PermitReply } from "./permit_reply.ts";
import type { PermitRequest } from "./permit_request.ts";
import { PrimaryPeriod } from "./primary_period.ts";
import type { RateLimit } from "./rate_limit.ts";
import type { RateLimitView } from "./rate_limit_view.ts";
import { RateLimitRegistry } from "./rate_limit_registry.ts";
import { RecentMaximum } from "./recent_maximum.ts";
import { RevisionCounter } from "./revision_counter.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { SharedState } from "./shared_state.ts";
import type { SyncReply } from "./sync_reply.ts";
import type { SyncRequest } from "./sync_request.ts";
import type { MergeOutcome } from "./merge_outcome.ts";
import type { UpdateSource } from "./update_source.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamChanges } from "./upstream_changes.ts";
import { UpstreamFeed } from "./upstream_feed.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { ProcessUsage } from "./process_usage.ts";
import { UsageTotals } from "./usage_totals.ts";
import { VersionLog } from "./version_log.ts";
import { VersionReports } from "./version_reports.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/**
 * Time without a report after which an entry is no longer listed for callers.
 */
const ENTRY_TIMEOUT_MS = 1200;
/**
 * The same for an entry whose last exchange was a short one, if there are many.
 * It has full ones with another replica, whose list callers get.
 */
const SHORT_REPORT_TIMEOUT_MS = 3000;

/**
 * Time for which the largest number of entries counts that an entry reported
 * with its requests for permits.
 */
const REPORTED_COUNT_WINDOW_MS = 10_000;

/** Minimum time between two checks for unresponsive entries. */
const SWEEP_INTERVAL: Milliseconds = 50;

/** The last report of an entry to this replica. */
type ReportedEntry = {
  readonly boot: string;
  readonly readingSpeeds: Readonly<Record<string, number>>;
  readonly receivedAt: Milliseconds;
  readonly isFull: boolean;
  /** Whether callers could be sent to it. */
  readonly isOpen: boolean;
  /** Wall clock of the entry minus the local clock. */
  readonly wallOffset: Milliseconds;
};

/** State outside the hub that a reply contains. */
type ReplyContext = {
  readonly now: Milliseconds;
  /** The confirmed configuration document, if there is one. */
  readonly document:
    | { readonly version: number; readonly source: string }
    | undefined;
  readonly controls: readonly string[];
  /** Whether this replica leads the group. */
  readonly isLeading: boolean;
  /** host:port of the replica that leads, if it is another one and known. */
  readonly leader?: string | undefined;
  /** The confirmed rollouts, if there are any. */
  readonly rollouts?: RolloutRegistry | undefined;
};

/**
 * The state that one control replica shares between entries: upstreams,
 * entries, charges and loads. It is held in memory only; after a restart,
 * reports of entries and upstreams restore it.
 *
 * @public
 */
export class Hub {
  readonly feed: string;
  readonly #revisions = new RevisionCounter();
  /**
   * Requests that ran on upstreams that crashed, as reported by all entries.
   */
  readonly crashes: SuspectRegistry = new SuspectRegistry({
    revisions: this.#revisions,
    countUpstreams: (service) => this.directory.countReady(service),
  });
  /** Rate limits that upstreams state, as reported by all entries. */
  readonly rateLimits: RateLimitRegistry = new RateLimitRegistry(
    this.#revisions,
  );
  readonly #permits = new PermitAuthority({
    limits: this.rateLimits,
    findRecord: (upstream) => this.directory.get(upstream)?.record,
  });
  readonly #upstreams = new UpstreamFeed(this.#revisions);
  readonly #followed = new FollowedUpstreams();
  readonly #entries = new Map<string, ReportedEntry>();
  readonly #medians = new EntryMedians(this.#entries, ENTRY_TIMEOUT_MS);
  readonly #openEntries = new OpenEntries(this.#revisions);
  readonly #charges = new ChargeAggregator(this.#revisions);
  readonly #loads = new LoadTotals(this.#revisions);
  readonly #demand = new DemandTotals();
  readonly #prefillWork = new ChargeTotals();
  readonly #usage = new UsageTotals();
  readonly #versions = new VersionReports();
  readonly #versionLog = new VersionLog(this.#revisions);
  readonly #documentSender = new DocumentSender();
  /** Number of entries that share rate limits, as entries know of. */
  readonly #reportedEntryCount = new RecentMaximum(
    1,
    REPORTED_COUNT_WINDOW_MS,
  );
  #sweptAt: Milliseconds = -Infinity;
  readonly #primaryPeriod = new PrimaryPeriod(ENTRY_TIMEOUT_MS);
  /** Aggregates over all entries, computed by the last sweep. */
  #shared = {
    quotaShare: 1,
    /** Entries that have full exchanges with this replica. */
    fullReports: 0,
    /** Entries that may send to upstreams. */
    sharingEntries: 0,
    unheard: [] as readonly string[],
    entryCount: 0,
  };
  /**
   * Reports that were rejected because they build on other counters than the
   * recorded ones.
   */
  #divergences = 0;

  constructor(feed: string) {
    this.feed = feed;
  }

  get directory(): UpstreamDirectory {
    return this.#upstreams.directory;
  }

  get revision(): number {
    return this.#revisions.value;
  }

  /** How often an entry had to send a full report again. */
  get divergences(): number {
    return this.#divergences;
  }

  /** Whether entries have full exchanges with this replica. */
  isPrimary(now: Milliseconds): boolean {
    return this.#primaryPeriod.isOngoing(now);
  }

  /**
   * Merges an update that an upstream or another replica sent.
   *
   * @returns How the update changed the record.
   */
  mergeUpstream(
    update: UpstreamRecord,
    now: Milliseconds,
    source?: UpdateSource,
  ): MergeOutcome {
    const outcome = this.#upstreams.merge(update, now, source);
    if (outcome === "changed") {
      this.#followed.add(update);
    }
    if (outcome !== "late") {
      this.#versionLog.observe(update, now);
    }
    return outcome;
  }

  /** Applies a heartbeat without changes that another replica received. */
  refreshUpstream(
    id: string,
    now: Milliseconds,
    heartbeat: UpdateSource & { sequence: number },
  ): void {
    const known = this.directory.get(id)?.record;
    if (known !== undefined) {
      this.mergeUpstream(
        { ...known, sequence: heartbeat.sequence },
        now,
        heartbeat,
      );
    }
  }

  /**
   * Records that an upstream departed.
   *
   * @returns ID of the departed instance; undefined if an earlier one may be
   * meant.
   */
  removeUpstream(
    name: string,
    now: Milliseconds,
    born?: Milliseconds,
  ): string | undefined {
    return this.#upstreams.remove(name, now, born);
  }

  /** Merges an entry's report and creates the reply. */
  sync(request: SyncRequest, context: ReplyContext): SyncReply {
    const { now, document, isLeading, controls } = context;
    const isAccepted = this.#mergeReport(request, now);
    this.#sweep(now);
    const sinceRevision = request.feed === this.feed ? request.revision : 0;
    const { name } = request.entry;
    const { upstreams, beats, ages, drainAges } = this.#upstreamsFor(
      request,
      now,
    );
    return {
      feed: this.feed,
      revision: this.#revisions.value,
      isLeading,
      leader: context.leader,
      isPrimary: this.isPrimary(now) ? true : undefined,
      shortReportTimeout: this.#hasManyEntries
        ? SHORT_REPORT_TIMEOUT_MS
        : undefined,
      upstreams,
      ages,
      drainAges,
      followed: this.#sharesFor(request),
      document: this.#documentSender.documentFor(request, document),
      ...this.#entriesFor(request, sinceRevision),
      entryCount: this.#shared.entryCount,
      sharingEntries: this.#shared.sharingEntries,
      controls,
      wall: this.estimateWallTime(now) ?? request.wall,
      spentByOthers: this.#charges.sumExcluding(
        name,
        request.takesChanges ? sinceRevision : 0,
      ),
      unheard: this.#listUnheard(now),
      charges: this.#charges.recentReports(request.wantedCharges ?? [], now),
      takesPartial: true,
      needsWhole: isAccepted ? undefined : true,
      rollouts: rolloutsFor(request, context.rollouts),
      versions: this.#versionLog.since(sinceRevision),
      suspects: this.#suspectsForEntry(sinceRevision, now),
      rateLimits: this.#rateLimitsSince(sinceRevision),
      shared: request.loads === undefined ? undefined : {
        beats,
        ...this.#loadsFor(request),
        demand: this.#demand.sums(now),
        readingSpeeds: this.readingSpeeds(now),
        quotaShare: this.#shared.quotaShare,
        issuesPermits: this.#issuesPermits ? true : undefined,
      },
    };
  }

  /**
   * Entries whose charges this replica lacks. Of many entries only those that
   * have full exchanges with it report often enough to be missed.
   */
  #listUnheard(now: Milliseconds): readonly string[] {
    return !this.#hasManyEntries || this.#primaryPeriod.isSettled(now)
      ? this.#shared.unheard
      : [];
  }

  get #hasManyEntries(): boolean {
    return exchangeInterval.isScaled(this.#entries.size);
  }

  /** Changes of the upstreams that an entry follows. */
  #upstreamsFor(request: SyncRequest, now: Milliseconds): UpstreamChanges {
    const { feed, loads, followed = {} } = request;
    const ids = this.#followedBy(request);
    // An entry that follows too few gets the records of all that it should.
    const lacksRecords = this.#followed.hasGrown(followed);
    const revision = feed === this.feed && !lacksRecords ? request.revision : 0;
    if (ids !== undefined) {
      const log = loads === undefined ? "changes" : "received";
      return this.#upstreams.changesAmong(ids, { revision, now, log });
    }
    return loads === undefined
      ? this.#upstreams.recordsChangedSince(revision, now)
      : this.#upstreams.changesSince(revision, now);
  }

  /** IDs of the upstreams that an entry follows; undefined for all. */
  #followedBy({ entry, followed }: SyncRequest): Set<string> | undefined {
    return followed !== undefined && this.#followed.isLimited
      ? this.#followed.listFor(entry.name, () => this.#upstreams.records())
      : undefined;
  }

  #sharesFor({ followed }: SyncRequest): FollowedShares | undefined {
    return followed !== undefined && this.#followed.differs(followed)
      ? this.#followed.shares
      : undefined;
  }

  /** The list of open entries, or its changes where those suffice. */
  #entriesFor(
    request: SyncRequest,
    sinceRevision: number,
  ): Pick<SyncReply, "entries" | "entryChanges"> {
    // An empty list is sent, too: the previous process may have sent entries.
    if (sinceRevision === 0) {
      return { entries: this.#openEntries.list() };
    }
    if (this.#openEntries.revision <= sinceRevision) {
      return { entries: undefined };
    }
    return request.takesChanges
      ? {
        entries: undefined,
        entryChanges: this.#openEntries.changesSince(sinceRevision),
      }
      : { entries: this.#openEntries.list() };
  }

  #suspectsSince(
    revision: number,
    now: Milliseconds,
  ): readonly ReportedSuspect[] | undefined {
    const changed = this.crashes.changesSince(revision, now);
    return changed.length > 0 ? changed : undefined;
  }

  /** Parts of prompts that were on one crashed upstream only are left out. */
  #suspectsForEntry(
    revision: number,
    now: Milliseconds,
  ): readonly ReportedSuspect[] | undefined {
    return this.#suspectsSince(revision, now)?.filter((
      { isPart, crashes, answeredAge },
    ) => isPart !== true || crashes.length > 1 || answeredAge !== undefined);
  }

  /** Whether there are entries that take permits from this replica. */
  get #issuesPermits(): boolean {
    return this.#shared.fullReports > 0;
  }

  #rateLimitsSince(revision: number): readonly RateLimit[] | undefined {
    const changed = this.rateLimits.changesSince(revision);
    return changed.length > 0 ? changed : undefined;
  }

  #loadsFor(
    request: SyncRequest,
  ): Pick<SharedState, "loadsOfOthers" | "areLoadsPartial"> {
    const { name } = request.entry;
    const since = request.feed === this.feed ? request.loadsSince ?? 0 : 0;
    const ids = this.#followedBy(request);
    return since > 0
      ? {
        loadsOfOthers: this.#loads.changesExcluding(name, since, ids),
        areLoadsPartial: true,
      }
      : { loadsOfOthers: this.#loads.sumExcluding(name, ids) };
  }

  /**
   * Issues permits for requests to upstreams with a rate limit. Only a replica
   * with which entries have full exchanges does, for their share of the limits:
   * while the primary changes, the one before issues for the others.
   */
  issuePermits(request: PermitRequest, now: Milliseconds): PermitReply {
    this.rateLimits.merge(request.limits);
    this.#sweep(now);
    if (!this.#issuesPermits) {
      return { isIssuing: false };
    }
    this.#reportedEntryCount.record(request.entryCount, now);
    const share = this.#shareOfLimits;
    return this.#permits.issue(request, {
      share,
      expectedShare: this.#primaryPeriod.isSettled(now) ? share : 1,
      now,
      wall: this.estimateWallTime(now) ?? now,
    });
  }

  /**
   * Share of all rate limits that the entries of this replica may use. After a
   * restart in a partition, the replica knows of its own side only; the entries
   * there may know of more.
   */
  get #shareOfLimits(): number {
    const { fullReports, sharingEntries } = this.#shared;
    return fullReports /
      Math.max(sharingEntries, this.#reportedEntryCount.value);
  }

  /** Upstreams that state a rate limit, for operators. */
  listRateLimits(now: Milliseconds): RateLimitView[] {
    this.#sweep(now);
    return this.#permits.list(
      this.#issuesPermits ? this.#shareOfLimits : undefined,
    );
  }

  /**
   * Creates the reply to another replica that has read this feed up to a
   * revision.
   */
  createFeedReply(
    { feed, revision, reads = [] }: FeedRequest,
    now: Milliseconds,
  ): FeedReply {
    const isSameFeed = feed === this.feed;
    return {
      feed: this.feed,
      revision: this.revision,
      ...this.#upstreams.changesForReplica({
        revision: isSameFeed ? revision : 0,
        reads,
        now,
      }),
      suspects: this.#suspectsSince(isSameFeed ? revision : 0, now),
      rateLimits: this.#rateLimitsSince(isSameFeed ? revision : 0),
      // Usage is sent once to each process that reads this feed.
      usage: isSameFeed ? {} : this.recentUsage(),
    };
  }

  /**
   * Merges the feed of another replica.
   *
   * @param options.transit Time since the feed was requested.
   * @returns Upstreams whose departure was unknown before.
   */
  mergeFeed(
    reply: FeedReply,
    now: Milliseconds,
    { reporter, transit = 0 }: { reporter: string; transit?: Milliseconds },
  ): UpstreamRecord[] {
    const ages = reply.ages ?? {};
    const departing: UpstreamRecord[] = [];
    for (const record of reply.upstreams) {
      const age = ownValue(ages, record.id) ?? 0;
      const drainAge = drainAgeOf(record, { ...reply, transit });
      const source = { reporter, age, drainAge };
      const outcome = this.mergeUpstream(record, now, source);
      if (outcome === "changed" && record.state !== "ready") {
        departing.push(record);
      }
    }
    for (const [id, sequence] of Object.entries(reply.beats)) {
      const age = ownValue(ages, id) ?? 0;
      this.refreshUpstream(id, now, { sequence, reporter, age });
    }
    this.mergeUsage(reply.usage ?? {});
    this.crashes.merge(reply.suspects ?? [], now);
    this.rateLimits.merge(reply.rateLimits ?? []);
    return departing;
  }

  /** Entries that callers may be sent to. */
  listOpenEntries(now: Milliseconds): readonly KnownEntry[] {
    this.#sweep(now);
    return this.#openEntries.list();
  }

  /** The median of the entries' wall clocks, extrapolated to `now`. */
  estimateWallTime(now: Milliseconds): Milliseconds | undefined {
    return this.#medians.wallTime(now);
  }

  /** Requests that all entries started in one usage window, by workspace. */
  usageInWindow(window: number): WorkspaceCounts {
    return this.#usage.sum(window);
  }

  /** Counts of the newest usage windows, by process of an entry. */
  recentUsage(): ProcessUsage {
    return this.#usage.recent();
  }

  /** Merges counts from storage or from another replica. */
  mergeUsage(usage: ProcessUsage): void {
    this.#usage.merge(usage);
  }

  /**
   * Prefill time, on the reference engine, of all prompts that entries
   * forwarded, by service, in ms.
   */
  totalPrefillWork(): Record<string, Milliseconds> {
    return this.#prefillWork.sumExcluding("");
  }

  /** Median prefill speed that the reporting entries measured, by service. */
  readingSpeeds(now: Milliseconds): Record<string, number> {
    return this.#medians.readingSpeeds(now);
  }

  /** Samples of a rollout from the reporting entries. */
  versionReports(rollout: Rollout): VersionReport[] {
    return this.#versions.list(rollout);
  }

  /** Whether all reporting entries follow a change of a rollout. */
  isFollowedByAll({ revision }: Rollout, now: Milliseconds): boolean {
    this.#sweep(now);
    return this.#versions.isFollowedByAll(
      revision,
      this.#openEntries.list().map(({ name }) => name),
    );
  }

  /** Requests in flight at all entries, by upstream. */
  totalLoads(now: Milliseconds): Record<string, UpstreamLoad> {
    this.#sweep(now);
    return this.#loads.sumExcluding("");
  }

  /** Demand at all entries, by service that is short. */
  totalDemand(now: Milliseconds): DemandReport {
    this.#sweep(now);
    return this.#demand.sums(now) ?? {};
  }

  /** Removes state that is past its retention. */
  expire(now: Milliseconds): void {
    this.#upstreams.expire(now);
    // A silent upstream may begin streams while it is listed.
    for (const { record } of this.directory.list()) {
      if (record.state !== "gone") {
        this.#versionLog.observe(record, now);
      }
    }
    this.#versionLog.expire(now);
    this.#usage.expire();
    this.crashes.expire(now);
    const isGone = (id: string) => this.directory.get(id) === undefined;
    this.#loads.removeIdle(isGone);
    this.rateLimits.removeWhere(isGone);
    this.#permits.expire(isGone, now);
    this.#charges.removeStale(now - ENTRY_RETENTION);
    for (const [name, entry] of this.#entries) {
      if (now - entry.receivedAt > ENTRY_RETENTION) {
        this.#prefillWork.remove(name);
        this.#versions.remove(name);
        this.#followed.forget(name);
        this.#openEntries.remove(name);
        this.#entries.delete(name);
      }
    }
  }

  /** Removes usage counts of windows that have been settled. */
  dropUsageBefore(window: number): void {
    this.#usage.dropBefore(window);
  }

  /** @returns Whether the counters were accepted. */
  #mergeReport(request: SyncRequest, now: Milliseconds): boolean {
    const { entry, isPartial } = request;
    const { name, boot, address, zone, region, isOpen, unreachable } = entry;
    const { spent, readWork, digest } = request;
    const isNewProcess = this.#entries.get(name)?.boot !== boot;
    const areChargesAccepted = this.#charges.applyReport(
      name,
      { boot, spent, isPartial, digest },
      now,
    );
    const isPrefillWorkAccepted = this.#prefillWork.applyReport(
      name,
      { boot, spent: readWork, isPartial },
      now,
    );
    for (
      const [other, charges] of Object.entries(request.relayedCharges ?? {})
    ) {
      this.#charges.applyRelayedReport(other, charges, now);
    }
    const isFull = request.loads !== undefined;
    if (isFull) {
      this.#primaryPeriod.recordFullReport(now);
    }
    this.#entries.set(name, {
      boot,
      isFull,
      isOpen,
      readingSpeeds: request.readingSpeeds,
      receivedAt: now,
      wallOffset: request.wall - now,
    });
    if (isNewProcess) {
      this.#medians.invalidate();
      this.#sweptAt = -Infinity;
    }
    this.#openEntries.update(
      { name, address, zone, region, unreachable },
      isOpen,
    );
    if (request.loads !== undefined) {
      this.#loads.update(name, request.loads);
    }
    this.#demand.update(name, request.demand);
    this.#usage.merge({ [boot]: request.usage });
    this.#versions.record(name, request);
    this.crashes.merge(request.suspects ?? [], now);
    this.rateLimits.merge(request.rateLimits ?? []);
    const isAccepted = areChargesAccepted && isPrefillWorkAccepted;
    this.#divergences += isAccepted ? 0 : 1;
    return isAccepted;
  }

  /** Closes unresponsive entries and updates the aggregates. */
  #sweep(now: Milliseconds): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL) {
      return;
    }
    this.#sweptAt = now;
    this.#permits.refresh();
    this.#followed.count(() => this.directory.list(), now);
    let entryCount = 0;
    let fullReports = 0;
    let sharingEntries = 0;
    const hasManyEntries = this.#hasManyEntries;
    for (const [name, { receivedAt, isFull, isOpen }] of this.#entries) {
      const timeout = isFull || !hasManyEntries
        ? ENTRY_TIMEOUT_MS
        : SHORT_REPORT_TIMEOUT_MS;
      const isUnresponsive = now - receivedAt >= timeout;
      // An entry that closed before it fell silent has stopped.
      sharingEntries += isUnresponsive && !isOpen ? 0 : 1;
      fullReports += isFull && !isUnresponsive ? 1 : 0;
      if (isUnresponsive) {
        this.#openEntries.close(name);
        this.#loads.remove(name);
        this.#demand.remove(name);
      } else {
        entryCount += 1;
      }
    }
    if (!this.#issuesPermits && fullReports > 0) {
      this.#permits.restart(now);
    }
    this.#shared = {
      entryCount,
      fullReports,
      sharingEntries,
      quotaShare: this.#charges.quotaShare(now),
      unheard: this.#charges.listUnresponsive(now),
    };
  }
}

/** The rollouts for an entry that doesn't follow the newest change yet. */
function rolloutsFor(
  { rolloutRevision = 0 }: SyncRequest,
  rollouts: RolloutRegistry | undefined,
): readonly Rollout[] | undefined {
  return rollouts !== undefined && rollouts.revision > rolloutRevision
    ? rollouts.list()
    : undefined;
}
