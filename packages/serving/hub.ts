import type { Milliseconds } from "@heroncleat/base";
import { ChargeBook } from "./charge_book.ts";
import { CrashBook } from "./crash_book.ts";
import { ChargeExchange } from "./charge_exchange.ts";
import { DocumentSender } from "./document_sender.ts";
import { EntryMedians } from "./entry_medians.ts";
import type { FeedReply } from "./feed_reply.ts";
import type { FeedRequest } from "./feed_request.ts";
import type { KnownEntry } from "./known_entry.ts";
import { LoadBook } from "./load_book.ts";
import { OpenEntries } from "./open_entries.ts";
import { RevisionCounter } from "./revision_counter.ts";
import type { ReportedSuspect } from "./reported_suspect.ts";
import type { SharedState } from "./shared_state.ts";
import type { SyncReply } from "./sync_reply.ts";
import type { SyncRequest } from "./sync_request.ts";
import type { MergeOutcome } from "./merge_outcome.ts";
import type { UpdateSource } from "./update_source.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";
import { UpstreamFeed } from "./upstream_feed.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { ProcessUsage } from "./process_usage.ts";
import { UsageBook } from "./usage_book.ts";
import type { WorkspaceCounts } from "./workspace_counts.ts";

/** Silence after which callers are no longer sent to an entry. */
const ENTRY_SILENT_AFTER = 1200;

/** Silence after which a closed or lost entry is taken to be gone. */
const ENTRY_GONE_AFTER = 30_000;

/** Pause between two looks for entries that fell silent. */
const SWEEP_INTERVAL: Milliseconds = 50;

/** An entry as it last reported to this replica. */
type ReportedEntry = {
  readonly boot: string;
  readonly readingSpeeds: Readonly<Record<string, number>>;
  readonly receivedAt: Milliseconds;
  /** Wall clock of the entry less this process's clock. */
  readonly wallOffset: Milliseconds;
};

/** What the hub needs beside its own state for a reply. */
type ReplyContext = {
  readonly now: Milliseconds;
  /** The confirmed document, if there is one. */
  readonly document:
    | { readonly version: number; readonly source: string }
    | undefined;
  readonly controls: readonly string[];
  /** Whether this replica leads the group. */
  readonly isLeading: boolean;
};

/**
 * What one control replica passes between entries: which upstreams and
 * entries there are, what is charged and under way. Nothing of it is stored;
 * after a start it fills again from what entries and upstreams say.
 *
 * @public
 */
export class Hub {
  readonly feed: string;
  readonly #revisions = new RevisionCounter();
  /** Requests under which upstreams ended, as all entries saw it. */
  readonly crashes: CrashBook = new CrashBook({
    revisions: this.#revisions,
    countUpstreams: (service) => this.directory.countReady(service),
  });
  readonly #upstreams = new UpstreamFeed(this.#revisions);
  readonly #entries = new Map<string, ReportedEntry>();
  readonly #medians = new EntryMedians(this.#entries, ENTRY_SILENT_AFTER);
  readonly #open = new OpenEntries(this.#revisions);
  readonly #charges = new ChargeExchange(this.#revisions);
  readonly #loads = new LoadBook(this.#revisions);
  readonly #readWork = new ChargeBook();
  readonly #usage = new UsageBook();
  readonly #documents = new DocumentSender();
  #sweptAt: Milliseconds = -Infinity;
  /** What is worked out over all entries, until the next sweep. */
  #shared = {
    quotaShare: 1,
    unheard: [] as readonly string[],
    entryCount: 0,
  };
  /** Reports that couldn't be taken, as they built on another copy. */
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

  /** How often an entry had to report all its counters again. */
  get divergences(): number {
    return this.#divergences;
  }

  /**
   * Takes updates of an upstream in, from itself or from another replica, and
   * says what they brought.
   */
  mergeUpstream(
    update: UpstreamRecord,
    now: Milliseconds,
    source?: UpdateSource,
  ): MergeOutcome {
    return this.#upstreams.merge(update, now, source);
  }

  /** Takes in a heartbeat without change that another replica got. */
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
   * Notes that an upstream has left.
   *
   * @returns The start that left; undefined if it was one before the living.
   */
  removeUpstream(
    name: string,
    now: Milliseconds,
    born?: Milliseconds,
  ): string | undefined {
    return this.#upstreams.remove(name, now, born);
  }

  /** Takes an entry's report in and answers it. */
  sync(request: SyncRequest, context: ReplyContext): SyncReply {
    const { now, document, isLeading, controls } = context;
    const isTaken = this.#mergeReport(request, now);
    this.#sweep(now);
    const from = request.feed === this.feed ? request.revision : 0;
    const { name } = request.entry;
    const { upstreams, beats, ages } = this.#upstreams.changesSince(from, now);
    return {
      feed: this.feed,
      revision: this.#revisions.value,
      isLeading,
      upstreams,
      ages,
      document: this.#documents.documentFor(request, document),
      ...this.#entriesFor(request, from),
      entryCount: this.#shared.entryCount,
      controls,
      wall: this.estimateWall(now) ?? request.wall,
      spentByOthers: this.#charges.sumWithout(
        name,
        request.takesChanges ? from : 0,
      ),
      unheard: this.#shared.unheard,
      charges: this.#charges.relay(request.wantedCharges ?? [], now),
      takesPartial: true,
      needsWhole: isTaken ? undefined : true,
      suspects: this.#suspectsSince(from, now),
      shared: request.loads === undefined ? undefined : {
        beats,
        ...this.#loadsFor(request),
        readingSpeeds: this.readingSpeeds(now),
        quotaShare: this.#shared.quotaShare,
      },
    };
  }

  /** The list of open entries, or what changed of it where that is enough. */
  #entriesFor(
    request: SyncRequest,
    from: number,
  ): Pick<SyncReply, "entries" | "entryChanges"> {
    // An empty list counts, too: an earlier process may have sent another one.
    if (from === 0) {
      return { entries: this.#open.list() };
    }
    if (this.#open.revision <= from) {
      return { entries: undefined };
    }
    return request.takesChanges
      ? { entries: undefined, entryChanges: this.#open.changesSince(from) }
      : { entries: this.#open.list() };
  }

  #suspectsSince(
    revision: number,
    now: Milliseconds,
  ): readonly ReportedSuspect[] | undefined {
    const changed = this.crashes.changesSince(revision, now);
    return changed.length > 0 ? changed : undefined;
  }

  #loadsFor(
    request: SyncRequest,
  ): Pick<SharedState, "loadsOfOthers" | "areLoadsPartial"> {
    const { name } = request.entry;
    const since = request.feed === this.feed ? request.loadsSince ?? 0 : 0;
    return since > 0
      ? {
        loadsOfOthers: this.#loads.changesWithout(name, since),
        areLoadsPartial: true,
      }
      : { loadsOfOthers: this.#loads.sumWithout(name) };
  }

  /** Answers another replica that has read a feed up to a revision. */
  answerFeed(
    { feed, revision }: FeedRequest,
    now: Milliseconds,
  ): FeedReply {
    const isKnown = feed === this.feed;
    return {
      feed: this.feed,
      revision: this.revision,
      ...this.#upstreams.changesSince(isKnown ? revision : 0, now),
      suspects: this.#suspectsSince(isKnown ? revision : 0, now),
      // What was kept is sent once to each process that reads this feed.
      usage: isKnown ? {} : this.recentUsage(),
    };
  }

  /**
   * Takes over what another replica answered.
   *
   * @returns Upstreams that were not known to leave before.
   */
  learnFeed(
    reply: FeedReply,
    now: Milliseconds,
    { reporter }: { reporter: string },
  ): UpstreamRecord[] {
    const ages = reply.ages ?? {};
    const leaving: UpstreamRecord[] = [];
    for (const record of reply.upstreams) {
      const age = ages[record.id] ?? 0;
      const outcome = this.mergeUpstream(record, now, { reporter, age });
      if (outcome === "changed" && record.state !== "ready") {
        leaving.push(record);
      }
    }
    for (const [id, sequence] of Object.entries(reply.beats)) {
      const age = ages[id] ?? 0;
      this.refreshUpstream(id, now, { sequence, reporter, age });
    }
    this.learnUsage(reply.usage ?? {});
    this.crashes.learn(reply.suspects ?? [], now);
    return leaving;
  }

  /** Entries that callers may be sent to. */
  listOpenEntries(now: Milliseconds): readonly KnownEntry[] {
    this.#sweep(now);
    return this.#open.list();
  }

  /** The median of the entries' wall clocks, moved on to `now`. */
  estimateWall(now: Milliseconds): Milliseconds | undefined {
    return this.#medians.wall(now);
  }

  /** What all entries counted for one usage window. */
  usageOf(window: number): WorkspaceCounts {
    return this.#usage.sum(window);
  }

  /** Counts of the newest usage windows, by process of an entry. */
  recentUsage(): ProcessUsage {
    return this.#usage.recent();
  }

  /** Takes in counts that were kept or that another replica passes on. */
  learnUsage(usage: ProcessUsage): void {
    this.#usage.learn(usage);
  }

  /**
   * Time in which the reference engine reads all prompts that entries sent, by
   * service, in ms.
   */
  totalReadWork(): Record<string, Milliseconds> {
    return this.#readWork.sumWithout("");
  }

  /** What the middle one of the entries in reach measured, by service. */
  readingSpeeds(now: Milliseconds): Record<string, number> {
    return this.#medians.readingSpeeds(now);
  }

  /** What all entries have under way, by upstream. */
  totalLoads(now: Milliseconds): Record<string, UpstreamLoad> {
    this.#sweep(now);
    return this.#loads.sumWithout("");
  }

  /** Forgets what can't matter any more. */
  expire(now: Milliseconds): void {
    this.#upstreams.expire(now);
    this.#usage.forget();
    this.crashes.expire(now);
    this.#loads.forget((id) => this.directory.get(id) === undefined);
    this.#charges.forget(now - ENTRY_GONE_AFTER);
    for (const [name, entry] of this.#entries) {
      if (now - entry.receivedAt > ENTRY_GONE_AFTER) {
        this.#readWork.drop(name);
        this.#open.forget(name);
        this.#entries.delete(name);
      }
    }
  }

  /** Drops usage counts of windows that were reported. */
  dropUsageBefore(window: number): void {
    this.#usage.dropBefore(window);
  }

  /** @returns Whether its counters could be taken. */
  #mergeReport(request: SyncRequest, now: Milliseconds): boolean {
    const { entry, isPartial } = request;
    const { name, boot, address, zone, region, isOpen } = entry;
    const { spent, readWork, digest } = request;
    const isNew = this.#entries.get(name)?.boot !== boot;
    const hasCharges = this.#charges.receive(
      name,
      { boot, spent, isPartial, digest },
      now,
    );
    const hasWork = this.#readWork.receive(
      name,
      { boot, spent: readWork, isPartial },
      now,
    );
    for (
      const [other, charges] of Object.entries(request.relayedCharges ?? {})
    ) {
      this.#charges.learn(other, charges, now);
    }
    this.#entries.set(name, {
      boot,
      readingSpeeds: request.readingSpeeds,
      receivedAt: now,
      wallOffset: request.wall - now,
    });
    if (isNew) {
      this.#medians.reset();
      this.#sweptAt = -Infinity;
    }
    this.#open.note({ name, address, zone, region }, isOpen);
    if (request.loads !== undefined) {
      this.#loads.note(name, request.loads);
    }
    this.#usage.learn({ [boot]: request.usage });
    this.crashes.learn(request.suspects ?? [], now);
    const isTaken = hasCharges && hasWork;
    this.#divergences += isTaken ? 0 : 1;
    return isTaken;
  }

  /** Closes entries that are silent, and sums up who is in reach. */
  #sweep(now: Milliseconds): void {
    if (now - this.#sweptAt < SWEEP_INTERVAL) {
      return;
    }
    this.#sweptAt = now;
    let entryCount = 0;
    for (const [name, { receivedAt }] of this.#entries) {
      if (now - receivedAt >= ENTRY_SILENT_AFTER) {
        this.#open.close(name);
        this.#loads.drop(name);
      } else {
        entryCount += 1;
      }
    }
    this.#shared = {
      entryCount,
      quotaShare: this.#charges.share(now),
      unheard: this.#charges.unheard(now),
    };
  }
}
