import { mkdir, open, readdir, readFile, unlink } from "node:fs/promises";
import { join } from "node:path";
import type { Clock, Milliseconds } from "@heroncleat/base";
import { recordCodec } from "@heroncleat/journal";
import { STREAM_RETENTION, StreamOrigins } from "@heroncleat/serving";
import type { StreamOriginBatch } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { originGroups } from "../common/origin_groups.ts";

/** Notices that arrive within this time share a write. */
const WRITE_INTERVAL: Milliseconds = 20;
/** A file is continued for this time and kept for a retention after that. */
const FILE_TIME: Milliseconds = STREAM_RETENTION / 2;
/** Beyond it, origins are kept in memory only, until old files are removed. */
const MAX_DISK_BYTES = 8 * 1024 * 1024;
/** Many entries share a replica, so it holds more than one of them does. */
const MAX_RECORDS = 150_000;
const FILE_PATTERN = /^origins-(\d+)\.log$/;

/** Where a stream began, as it is answered to an entry. */
type StoredOrigin = {
  readonly service: string;
  readonly version: string;
  /** Time since the first event of the stream. */
  readonly age: Milliseconds;
};

/** Origins that an entry sent. */
type OriginBatch = Pick<StreamOriginBatch, "entry" | "groups">;

/** Origins on disk, with the Unix time of their receipt. */
type BatchRecord = OriginBatch & { readonly receivedAt: Milliseconds };

/** An origin. Its times are Unix times, which outlast a restart. */
type OriginRecord = {
  readonly stream: string;
  readonly service: string;
  readonly version: string;
  readonly entry: string;
  readonly begunAt: Milliseconds;
  readonly expiresAt: Milliseconds;
};

type StoreOptions = {
  readonly folder: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
};

/**
 * Keeps the origins of streams for entries, which forget them when they end
 * together. It survives a restart; the origins of the last few milliseconds
 * before a loss of power may be missing, and their streams aren't resumed.
 */
export class OriginStore {
  readonly #options: StoreOptions;
  readonly #origins = new StreamOrigins({ maxRecords: MAX_RECORDS });
  #pending: BatchRecord[] = [];
  /** Sizes of the files by their start, a Unix time in milliseconds. */
  readonly #files = new Map<Milliseconds, number>();
  /** Start of the file that this process continues. */
  #currentFile: Milliseconds = -Infinity;
  #isWriting = false;
  #isOpen = false;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  /** Reads what was stored before this process started. */
  async read(): Promise<void> {
    const { folder, clock, log } = this.#options;
    await mkdir(folder, { recursive: true });
    for (const name of await readdir(folder)) {
      const start = FILE_PATTERN.exec(name)?.[1];
      if (start === undefined) {
        continue;
      }
      try {
        const bytes = await readFile(join(folder, name));
        this.#files.set(Number(start), bytes.length);
        for (const record of decode(bytes)) {
          this.#remember(record);
        }
      } catch (error) {
        log.warn("Can't read the origins of streams", {
          file: name,
          error: String(error),
        });
      }
    }
    this.#origins.expire(clock.steady());
    log.info("Read the origins of streams", { streams: this.#origins.size });
  }

  /** Starts to write. Before, the disk may have no identity yet. */
  open(): void {
    this.#isOpen = true;
  }

  /** Adds origins that an entry sent. */
  add({ entry, groups }: OriginBatch): void {
    const batch = {
      entry,
      groups,
      receivedAt: this.#options.clock.wall(),
    };
    for (const record of recordsOf(batch)) {
      this.#remember(record);
    }
    if (this.#isOpen) {
      this.#pending.push(batch);
      this.#scheduleWrite();
    }
  }

  /** @param stream See `streamKey`. */
  find(stream: string): StoredOrigin | undefined {
    const now = this.#options.clock.steady();
    const known = this.#origins.get(stream, now);
    return known && {
      ...known.origin,
      age: Math.max(0, Math.round(now - known.begunAt)),
    };
  }

  expire(): void {
    this.#origins.expire(this.#options.clock.steady());
    this.#options.metrics.gauge("hub.stream_origins", this.#origins.size);
  }

  close(): void {
    this.#isOpen = false;
  }

  #remember(record: OriginRecord): void {
    const { clock } = this.#options;
    const now = clock.steady();
    const wall = clock.wall();
    // The wall clock may have been set since; a record isn't kept for longer
    // than any stream lasts.
    const left = Math.min(STREAM_RETENTION, record.expiresAt - wall);
    const { service, version } = record;
    this.#origins.record(record.stream, {
      origin: { service, version },
      entry: record.entry,
      begunAt: now - Math.max(0, wall - record.begunAt),
      expiresAt: now + left,
    });
  }

  #scheduleWrite(): void {
    if (this.#isWriting) {
      return;
    }
    this.#isWriting = true;
    setTimeout(() => void this.#write(), WRITE_INTERVAL).unref();
  }

  async #write(): Promise<void> {
    const { log, metrics } = this.#options;
    const batch = this.#pending;
    this.#pending = [];
    try {
      await this.#append(
        recordCodec.encode(Buffer.from(JSON.stringify(batch))),
      );
    } catch (error) {
      // Entries hold the same origins; only a loss of all of them needs these.
      metrics.increment("hub.stream_origins_unwritten", countStreams(batch));
      log.warn("Can't store the origins of streams", { error: String(error) });
    }
    this.#isWriting = false;
    if (this.#pending.length > 0 && this.#isOpen) {
      this.#scheduleWrite();
    }
  }

  async #append(bytes: Buffer): Promise<void> {
    const { folder, clock } = this.#options;
    const now = clock.wall();
    await this.#removeOldFiles(now);
    const used = [...this.#files.values()].reduce((sum, size) => sum + size, 0);
    if (used + bytes.length > MAX_DISK_BYTES) {
      throw new Error(`the files have ${used} bytes, the most that they may`);
    }
    const start = this.#chooseFile(now);
    const handle = await open(join(folder, fileName(start)), "a");
    try {
      await handle.appendFile(bytes);
      await handle.datasync();
    } finally {
      await handle.close();
    }
    this.#files.set(start, (this.#files.get(start) ?? 0) + bytes.length);
  }

  /**
   * Files of an earlier process aren't continued, as they may end with a torn
   * batch.
   */
  #chooseFile(now: Milliseconds): Milliseconds {
    const isCurrent = Math.abs(now - this.#currentFile) < FILE_TIME;
    if (isCurrent) {
      return this.#currentFile;
    }
    let start = Math.round(now);
    while (this.#files.has(start)) {
      start += 1;
    }
    this.#currentFile = start;
    return start;
  }

  async #removeOldFiles(now: Milliseconds): Promise<void> {
    for (const start of this.#files.keys()) {
      // A start in the future shows that the wall clock was set back.
      const isOld = Math.abs(now - start) > FILE_TIME + STREAM_RETENTION;
      if (isOld) {
        await unlink(join(this.#options.folder, fileName(start)));
        this.#files.delete(start);
      }
    }
  }
}

function fileName(start: Milliseconds): string {
  return `origins-${start}.log`;
}

function recordsOf({ entry, groups, receivedAt }: BatchRecord): OriginRecord[] {
  return originGroups.list(groups).map((origin) => ({
    stream: origin.stream,
    service: origin.service,
    version: origin.version,
    entry,
    begunAt: Math.round(receivedAt - origin.age),
    expiresAt: Math.round(receivedAt + origin.expiresIn),
  }));
}

function countStreams(batches: readonly BatchRecord[]): number {
  return batches.reduce((sum, batch) => sum + recordsOf(batch).length, 0);
}

/** Records up to the first incomplete or damaged write. */
function decode(bytes: Buffer): OriginRecord[] {
  const records: OriginRecord[] = [];
  let offset = 0;
  for (;;) {
    const written = recordCodec.decode(bytes, offset);
    if (written === undefined) {
      return records;
    }
    const batches: (BatchRecord | OriginRecord)[] = JSON.parse(
      written.payload.toString("utf8"),
    );
    for (const batch of batches) {
      // An earlier release wrote each origin on its own.
      records.push(..."groups" in batch ? recordsOf(batch) : [batch]);
    }
    offset = written.end;
  }
}
