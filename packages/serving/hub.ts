import type { Milliseconds } from "@heroncleat/base";
import { ChargeBook } from "./charge_book.ts";
import { ChargeExchange } from "./charge_exchange.ts";
import type { KnownEntry } from "./known_entry.ts";
import { median } from "./median.ts";
import { packedDocument } from "./packed_document.ts";
import type { SyncReply } from "./sync_reply.ts";
import type { SyncRequest } from "./sync_request.ts";
import { type NewsOutcome, UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import { type ProcessUsage, UsageBook } from "./usage_book.ts";
import type { WorkspaceCounts } from "./usage_counts.ts";

/** Silence after which callers are no longer sent to an entry. */
const ENTRY_SILENT_AFTER = 1200;

/** Silence after which a closed or lost entry is taken to be gone. */
const ENTRY_GONE_AFTER = 30_000;

/** Time for which a measured reading speed counts after its entry went. */
const SPEED_KEPT: Milliseconds = 10_000;

/** Time for which the list of open entries is not made anew. */
const LIST_KEPT: Milliseconds = 50;

/** Revisions at which an upstream was last heard and last changed. */
type Revisions = { readonly heard: number; readonly changed: number };

/** Open entries, and the revision at which the list became this one. */
type EntryList = {
  readonly madeAt: Milliseconds;
  readonly revision: number;
  readonly entries: readonly KnownEntry[];
};

/** What changed of upstreams since a revision. @public */
export type UpstreamNews = {
  /** Those that are new or have changed. */
  readonly upstreams: readonly UpstreamRecord[];
  /** Newest heartbeat of those that sent one and have not changed. */
  readonly beats: Readonly<Record<string, number>>;
};

/** An entry as this replica last heard it. */
type HeardEntry = {
  readonly request: SyncRequest;
  readonly heardAt: Milliseconds;
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
  readonly directory = new UpstreamDirectory();
  readonly #entries = new Map<string, HeardEntry>();
  readonly #charges = new ChargeExchange();
  readonly #readWork = new ChargeBook();
  readonly #usage = new UsageBook();
  /** By identifier of the upstream. */
  readonly #revisions = new Map<string, Revisions>();
  /** The document that was told last, as it is told. */
  #packed = { version: -1, text: "" };
  #list: EntryList = { madeAt: -Infinity, revision: 0, entries: [] };
  #revision = 0;

  constructor(feed: string) {
    this.feed = feed;
  }

  get revision(): number {
    return this.#revision;
  }

  /**
   * Takes news of an upstream in, from itself or from another replica, and
   * says what they brought.
   */
  hearUpstream(news: UpstreamRecord, now: Milliseconds): NewsOutcome {
    const outcome = this.directory.merge(news, now);
    if (outcome === "late") {
      return outcome;
    }
    this.#revision += 1;
    const heard = this.#revision;
    const known = this.#revisions.get(news.id);
    const changed = outcome === "changed" ? heard : known?.changed ?? heard;
    this.#revisions.set(news.id, { heard, changed });
    return outcome;
  }

  /** Takes in a heartbeat without change that another replica got. */
  hearBeat(
    id: string,
    beat: { sequence: number; now: Milliseconds },
  ): void {
    const known = this.directory.get(id)?.record;
    if (known !== undefined) {
      this.hearUpstream({ ...known, sequence: beat.sequence }, beat.now);
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
    const id = this.directory.findLeaving(name, { born, now });
    if (id === undefined) {
      return undefined;
    }
    this.directory.remove(id, now);
    this.#revision += 1;
    this.#revisions.set(id, { heard: this.#revision, changed: this.#revision });
    return id;
  }

  /** Takes an entry's news in and answers it. */
  sync(request: SyncRequest, context: ReplyContext): SyncReply {
    const { now, document, isLeading, controls } = context;
    this.#hearEntry(request, now);
    const from = request.feed === this.feed ? request.revision : 0;
    const list = this.#listEntries(now);
    const { upstreams, beats } = this.newsSince(request.feed, from);
    return {
      feed: this.feed,
      revision: this.#revision,
      isLeading,
      upstreams,
      document: this.#documentFor(request, document),
      entries: list.revision > from ? list.entries : undefined,
      controls,
      wall: this.estimateWall(now) ?? request.wall,
      spentByOthers: this.#charges.sumWithout(request.entry.name),
      unheard: this.#charges.unheard(now),
      charges: this.#charges.tell(request.wantedCharges ?? [], now),
      shared: request.loads === undefined ? undefined : {
        beats,
        loadsOfOthers: this.#loadsOfOthers(request.entry.name, now),
        readingSpeeds: this.readingSpeeds(now),
        quotaShare: this.#charges.share(now),
      },
    };
  }

  /**
   * The document, packed, where an entry's is older. Every replica tells it, as
   * an entry may reach just one that has it.
   */
  #documentFor(
    request: SyncRequest,
    document: ReplyContext["document"],
  ): string | undefined {
    const isOutdated = document !== undefined &&
      document.version > request.documentVersion;
    if (!isOutdated) {
      return undefined;
    }
    const { version, source } = document;
    if (this.#packed.version !== version) {
      this.#packed = { version, text: packedDocument.pack(source) };
    }
    return this.#packed.text;
  }

  /** What changed of upstreams behind a revision of this feed. */
  newsSince(feed: string, revision: number): UpstreamNews {
    const from = feed === this.feed ? revision : 0;
    const upstreams: UpstreamRecord[] = [];
    const beats: Record<string, number> = {};
    for (const [id, { heard, changed }] of this.#revisions) {
      const record = heard > from ? this.directory.get(id)?.record : undefined;
      if (record === undefined || this.directory.isOver(id)) {
        continue;
      }
      if (changed > from) {
        upstreams.push(record);
      } else {
        beats[id] = record.sequence;
      }
    }
    return { upstreams, beats };
  }

  #listEntries(now: Milliseconds): EntryList {
    if (now - this.#list.madeAt < LIST_KEPT) {
      return this.#list;
    }
    const entries = this.listOpenEntries(now);
    const isSame = JSON.stringify(entries) ===
      JSON.stringify(this.#list.entries);
    if (!isSame) {
      this.#revision += 1;
    }
    const revision = isSame ? this.#list.revision : this.#revision;
    this.#list = { madeAt: now, revision, entries };
    return this.#list;
  }

  listOpenEntries(now: Milliseconds): KnownEntry[] {
    const open: KnownEntry[] = [];
    for (const { request, heardAt } of this.#entries.values()) {
      if (request.entry.isOpen && now - heardAt < ENTRY_SILENT_AFTER) {
        const { name, address, zone, region } = request.entry;
        open.push({ name, address, zone, region });
      }
    }
    return open;
  }

  /** The median of the entries' wall clocks, moved on to `now`. */
  estimateWall(now: Milliseconds): Milliseconds | undefined {
    const offsets: Milliseconds[] = [];
    for (const { heardAt, wallOffset } of this.#entries.values()) {
      if (now - heardAt < ENTRY_SILENT_AFTER) {
        offsets.push(wallOffset);
      }
    }
    const offset = median(offsets);
    return offset === undefined ? undefined : now + offset;
  }

  /** What all entries counted for one usage window. */
  usageOf(window: number): WorkspaceCounts {
    return this.#usage.sum(window);
  }

  /** Counts of the newest usage windows, by process of an entry. */
  recentUsage(): ProcessUsage {
    return this.#usage.recent();
  }

  /** Takes in counts that were kept or that another replica tells on. */
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
    const told = new Map<string, number[]>();
    for (const { request, heardAt } of this.#entries.values()) {
      if (now - heardAt > SPEED_KEPT) {
        continue;
      }
      for (const [service, speed] of Object.entries(request.readingSpeeds)) {
        told.set(service, [...told.get(service) ?? [], speed]);
      }
    }
    const speeds: Record<string, number> = {};
    for (const [service, values] of told) {
      speeds[service] = median(values)!;
    }
    return speeds;
  }

  /** What all entries have under way, by upstream. */
  totalLoads(now: Milliseconds): Record<string, UpstreamLoad> {
    return this.#loadsOfOthers("", now);
  }

  /** Forgets what can't matter any more. */
  expire(now: Milliseconds): void {
    this.directory.forget(now);
    this.#usage.forget();
    for (const id of this.#revisions.keys()) {
      if (this.directory.get(id) === undefined) {
        this.#revisions.delete(id);
      }
    }
    this.#charges.forget(now - ENTRY_GONE_AFTER);
    for (const [name, entry] of this.#entries) {
      if (now - entry.heardAt > ENTRY_GONE_AFTER) {
        this.#readWork.drop(name);
        this.#entries.delete(name);
      }
    }
  }

  /** Drops usage counts of windows that were reported. */
  dropUsageBefore(window: number): void {
    this.#usage.dropBefore(window);
  }

  #hearEntry(request: SyncRequest, now: Milliseconds): void {
    const { name, boot } = request.entry;
    this.#charges.hear(name, { boot, spent: request.spent }, now);
    for (
      const [other, charges] of Object.entries(request.relayedCharges ?? {})
    ) {
      this.#charges.learn(other, charges, now);
    }
    this.#readWork.hear(name, { boot, spent: request.readWork }, now);
    this.#entries.set(name, {
      request,
      heardAt: now,
      wallOffset: request.wall - now,
    });
    this.#usage.learn({ [boot]: request.usage });
  }

  #loadsOfOthers(
    caller: string,
    now: Milliseconds,
  ): Record<string, UpstreamLoad> {
    const totals: Record<string, UpstreamLoad> = {};
    for (const { request, heardAt } of this.#entries.values()) {
      const isOther = request.entry.name !== caller;
      if (!isOther || now - heardAt > ENTRY_SILENT_AFTER) {
        continue;
      }
      for (const [id, load] of Object.entries(request.loads ?? {})) {
        const total = totals[id];
        totals[id] = {
          requests: (total?.requests ?? 0) + load.requests,
          backlog: (total?.backlog ?? 0) + load.backlog,
        };
      }
    }
    return totals;
  }
}
