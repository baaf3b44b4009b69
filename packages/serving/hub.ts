import type { Milliseconds } from "@heroncleat/base";
import { ChargeBook } from "./charge_book.ts";
import type { KnownEntry } from "./known_entry.ts";
import { median } from "./median.ts";
import type { PartPlacement } from "./part_placement.ts";
import type { SyncReply } from "./sync_reply.ts";
import type { SyncRequest } from "./sync_request.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamLoad } from "./upstream_load.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import type { WorkspaceCounts } from "./usage_counts.ts";

/** Silence after which callers are no longer sent to an entry. */
const ENTRY_SILENT_AFTER = 1200;
/** Silence after which a closed or lost entry is taken to be gone. */
const ENTRY_GONE_AFTER = 30_000;

/** Time for which placements wait for entries that are slow to ask. */
const PLACEMENT_KEPT = 3000;

/** A placement with who made it and when it was last heard. */
type HeardPlacement = PartPlacement & {
  readonly entry: string;
  readonly revision: number;
  readonly heardAt: Milliseconds;
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
  readonly #charges = new ChargeBook();
  readonly #usage = new Map<string, Map<string, WorkspaceCounts>>();
  /** Upstream identifiers by the revision of their last change. */
  readonly #changes = new Map<string, number>();
  /** By part and upstream; the latest stands last. */
  readonly #placements = new Map<string, HeardPlacement>();
  #revision = 0;

  constructor(feed: string) {
    this.feed = feed;
  }

  get revision(): number {
    return this.#revision;
  }

  /** Takes news of an upstream in, from itself or from another replica. */
  hearUpstream(news: UpstreamRecord, now: Milliseconds): void {
    if (this.directory.merge(news, now) !== undefined) {
      this.#noteChange(news.id);
    }
  }

  removeUpstream(id: string, now: Milliseconds): void {
    this.directory.remove(id, now);
    this.#noteChange(id);
  }

  /** Takes an entry's news in and answers it. */
  sync(request: SyncRequest, context: ReplyContext): SyncReply {
    const { now } = context;
    this.#hearEntry(request, now);
    const { document } = context;
    const isOutdated = document !== undefined &&
      document.version > request.documentVersion;
    return {
      feed: this.feed,
      revision: this.#revision,
      upstreams: this.changesSince(request.feed, request.revision),
      document: isOutdated ? document.source : undefined,
      entries: this.listOpenEntries(now),
      controls: context.controls,
      wall: this.estimateWall(now) ?? request.wall,
      spentByOthers: this.#charges.sumWithout(request.entry.name),
      loadsOfOthers: this.#loadsOfOthers(request.entry.name, now),
      placements: this.#placementsFor(request),
      quotaShare: this.#quotaShare(now),
    };
  }

  /** Upstreams that changed behind a revision of this feed. */
  changesSince(feed: string, revision: number): UpstreamRecord[] {
    const from = feed === this.feed ? revision : 0;
    const changed: UpstreamRecord[] = [];
    for (const [id, changedAt] of this.#changes) {
      const known = changedAt > from ? this.directory.get(id) : undefined;
      if (known !== undefined) {
        changed.push(known.record);
      }
    }
    return changed;
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
    const totals: Record<string, number> = {};
    for (const windows of this.#usage.values()) {
      for (
        const [name, count] of Object.entries(windows.get(`${window}`) ?? {})
      ) {
        totals[name] = (totals[name] ?? 0) + count;
      }
    }
    return totals;
  }

  /** What all entries have under way, by upstream. */
  totalLoads(now: Milliseconds): Record<string, UpstreamLoad> {
    return this.#loadsOfOthers("", now);
  }

  /** Forgets what can't matter any more. */
  expire(now: Milliseconds): void {
    this.directory.forget(now);
    for (const [key, placement] of this.#placements) {
      if (now - placement.heardAt > PLACEMENT_KEPT) {
        this.#placements.delete(key);
      }
    }
    for (const id of this.#changes.keys()) {
      if (this.directory.get(id) === undefined) {
        this.#changes.delete(id);
      }
    }
    for (const [name, entry] of this.#entries) {
      if (now - entry.heardAt > ENTRY_GONE_AFTER) {
        this.#charges.drop(name);
        this.#entries.delete(name);
      }
    }
    for (const [boot, windows] of this.#usage) {
      if (windows.size === 0) {
        this.#usage.delete(boot);
      }
    }
  }

  /** Drops usage counts of windows that were reported. */
  dropUsageBefore(window: number): void {
    for (const windows of this.#usage.values()) {
      for (const number of windows.keys()) {
        if (Number(number) < window) {
          windows.delete(number);
        }
      }
    }
  }

  #noteChange(id: string): void {
    this.#revision += 1;
    this.#changes.set(id, this.#revision);
  }

  #hearEntry(request: SyncRequest, now: Milliseconds): void {
    const { name, boot } = request.entry;
    this.#charges.hear(name, { boot, spent: request.spent }, now);
    this.#entries.set(name, {
      request,
      heardAt: now,
      wallOffset: request.wall - now,
    });
    this.#hearPlacements(request, now);
    const windows = this.#usage.get(request.entry.boot) ?? new Map();
    for (const [window, counts] of Object.entries(request.usage)) {
      windows.set(window, counts);
    }
    this.#usage.set(request.entry.boot, windows);
  }

  #hearPlacements(request: SyncRequest, now: Milliseconds): void {
    for (const { part, upstream } of request.placements) {
      const key = `${part} ${upstream}`;
      this.#revision += 1;
      this.#placements.delete(key);
      this.#placements.set(key, {
        part,
        upstream,
        entry: request.entry.name,
        revision: this.#revision,
        heardAt: now,
      });
    }
  }

  #placementsFor(request: SyncRequest): PartPlacement[] {
    const from = request.feed === this.feed ? request.revision : 0;
    const news: PartPlacement[] = [];
    for (
      const { part, upstream, entry, revision } of this.#placements.values()
    ) {
      if (revision > from && entry !== request.entry.name) {
        news.push({ part, upstream });
      }
    }
    return news;
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
      for (const [id, load] of Object.entries(request.loads)) {
        const total = totals[id];
        totals[id] = {
          requests: (total?.requests ?? 0) + load.requests,
          backlog: (total?.backlog ?? 0) + load.backlog,
        };
      }
    }
    return totals;
  }

  /** Entries that are out of reach may be using an even share by themselves. */
  #quotaShare(now: Milliseconds): number {
    let heard = 0;
    for (const { heardAt } of this.#entries.values()) {
      heard += now - heardAt < ENTRY_SILENT_AFTER ? 1 : 0;
    }
    return heard / Math.max(1, this.#entries.size);
  }
}
