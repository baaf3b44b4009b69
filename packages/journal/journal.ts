import { mkdir, open, readdir, readFile, unlink } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";
import { createFault, type Fault } from "@heroncleat/base";
import {
  checkJournalRecord,
  checkLogSnapshot,
  type JournalRecord,
  type LogSnapshot,
} from "@heroncleat/schema";
import { Result } from "true-myth/result";
import { decodeRecords } from "./decode_records.ts";
import { recordCodec } from "./record_codec.ts";
import { syncFolder } from "./sync_folder.ts";
import { writeFileDurably } from "./write_file_durably.ts";

/** The content of a journal at the time it is opened. */
type JournalContent = {
  readonly snapshot: LogSnapshot | undefined;
  readonly records: readonly JournalRecord[];
  /** Bytes of the torn last record, which are dropped. */
  readonly droppedBytes: number;
};

/** Records to append, after the snapshot if there is one. */
type Batch = {
  readonly records: readonly JournalRecord[];
  readonly snapshot?: LogSnapshot;
};

const JOURNAL_FILE_PATTERN = /^journal-(\d+)\.log$/;

/**
 * The write-ahead log of one replica in its data folder. The file
 * `journal-N.log` contains the records that follow `snapshot-N.bin`. A new
 * snapshot starts generation N + 1; other generations are removed once both new
 * files are durable.
 *
 * @public
 */
export class Journal {
  readonly #folder: string;
  #handle: FileHandle;
  #generation: number;
  #snapshotBytes: number;
  #recordBytes: number;

  private constructor(
    folder: string,
    options: {
      handle: FileHandle;
      generation: number;
      snapshotBytes: number;
      recordBytes: number;
    },
  ) {
    this.#folder = folder;
    this.#handle = options.handle;
    this.#generation = options.generation;
    this.#snapshotBytes = options.snapshotBytes;
    this.#recordBytes = options.recordBytes;
  }

  /** Size of the last snapshot on disk; 0 without one. */
  get snapshotBytes(): number {
    return this.#snapshotBytes;
  }

  /** Size of the records that follow the last snapshot on disk. */
  get recordBytes(): number {
    return this.#recordBytes;
  }

  /**
   * Opens the journal of a folder and reads its content. Returns a `damaged`
   * fault if a file is missing or invalid.
   */
  static async open(
    folder: string,
  ): Promise<Result<{ journal: Journal; content: JournalContent }, Fault>> {
    await mkdir(folder, { recursive: true });
    const generation = await findLatestGeneration(folder);
    const snapshot = await readSnapshot(folder, generation);
    if (snapshot.isErr) {
      return Result.err(snapshot.error);
    }
    const path = journalPath(folder, generation);
    const read = await readRecords(path);
    if (read.isErr) {
      return Result.err(read.error);
    }
    const handle = await open(path, "a");
    // A record appended after a torn tail would make it look like damage.
    await handle.truncate(read.value.length);
    await handle.sync();
    await syncFolder(folder);
    await removeOtherGenerations(folder, generation);
    const journal = new Journal(folder, {
      handle,
      generation,
      snapshotBytes: snapshot.value?.length ?? 0,
      recordBytes: read.value.length,
    });
    const content = {
      snapshot: snapshot.value?.snapshot,
      records: read.value.records,
      droppedBytes: read.value.droppedBytes,
    };
    return Result.ok({ journal, content });
  }

  /** Writes batches in order. They are durable when the promise resolves. */
  async append(batches: readonly Batch[]): Promise<void> {
    let pending: JournalRecord[] = [];
    for (const batch of batches) {
      if (batch.snapshot !== undefined) {
        await this.#write(pending);
        pending = [];
        await this.#startGeneration(batch.snapshot, batch.records);
        continue;
      }
      pending.push(...batch.records);
    }
    if (pending.length > 0) {
      await this.#write(pending);
      await this.#handle.datasync();
    }
  }

  async close(): Promise<void> {
    await this.#handle.close();
  }

  async #write(records: readonly JournalRecord[]): Promise<void> {
    if (records.length > 0) {
      const bytes = encodeBatch(records);
      await this.#handle.appendFile(bytes);
      this.#recordBytes += bytes.length;
    }
  }

  async #startGeneration(
    snapshot: LogSnapshot,
    records: readonly JournalRecord[],
  ): Promise<void> {
    const next = this.#generation + 1;
    const bytes = records.length === 0 ? Buffer.alloc(0) : encodeBatch(records);
    const snapshotBytes = recordCodec.encode(
      Buffer.from(JSON.stringify(snapshot)),
    );
    await writeFileDurably(snapshotPath(this.#folder, next), snapshotBytes);
    // Opening selects the latest journal file, so the snapshot comes first.
    await writeFileDurably(journalPath(this.#folder, next), bytes);
    await this.#handle.close();
    this.#handle = await open(journalPath(this.#folder, next), "a");
    this.#generation = next;
    this.#snapshotBytes = snapshotBytes.length;
    this.#recordBytes = bytes.length;
    await removeOtherGenerations(this.#folder, next);
  }
}

/**
 * Encodes all records of one sync under one checksum. A power failure can
 * persist later blocks of an unsynced write without the earlier ones; with
 * separate checksums that would look like damage instead of a torn tail.
 */
function encodeBatch(records: readonly JournalRecord[]): Buffer {
  return recordCodec.encode(Buffer.from(JSON.stringify(records)));
}

function journalPath(folder: string, generation: number): string {
  return join(folder, `journal-${generation}.log`);
}

function snapshotPath(folder: string, generation: number): string {
  return join(folder, `snapshot-${generation}.bin`);
}

async function findLatestGeneration(folder: string): Promise<number> {
  let latest = 0;
  for (const name of await readdir(folder)) {
    const match = JOURNAL_FILE_PATTERN.exec(name);
    if (match !== null) {
      latest = Math.max(latest, Number(match[1]));
    }
  }
  return latest;
}

async function removeOtherGenerations(
  folder: string,
  generation: number,
): Promise<void> {
  const currentFiles = [
    `journal-${generation}.log`,
    `snapshot-${generation}.bin`,
  ];
  for (const name of await readdir(folder)) {
    const isOwned = /^(journal|snapshot)-\d+\.(log|bin)(\.new)?$/.test(
      name,
    );
    if (isOwned && !currentFiles.includes(name)) {
      await unlink(join(folder, name));
    }
  }
}

/** A snapshot and the length of its file in bytes. */
type StoredSnapshot = {
  readonly snapshot: LogSnapshot;
  readonly length: number;
};

async function readSnapshot(
  folder: string,
  generation: number,
): Promise<Result<StoredSnapshot | undefined, Fault>> {
  if (generation === 0) {
    return Result.ok(undefined);
  }
  const path = snapshotPath(folder, generation);
  const bytes = await readFile(path).catch(undefinedWhenMissing);
  const record = bytes === undefined ? undefined : recordCodec.decode(bytes, 0);
  const value = record === undefined ? undefined : parseJson(record.payload);
  if (!checkLogSnapshot(value)) {
    return Result.err(createDamageFault(path, 0));
  }
  return Result.ok({ snapshot: value, length: bytes?.length ?? 0 });
}

/** The records of a file, with their length in bytes. */
type ReadRecords = {
  readonly records: JournalRecord[];
  readonly length: number;
  readonly droppedBytes: number;
};

async function readRecords(path: string): Promise<Result<ReadRecords, Fault>> {
  const bytes = await readFile(path).catch(undefinedWhenMissing);
  if (bytes === undefined) {
    return Result.err(createDamageFault(path, 0));
  }
  const decoded = decodeRecords(bytes);
  if (decoded.kind === "damaged") {
    return Result.err(createDamageFault(path, decoded.offset));
  }
  const records: JournalRecord[] = [];
  for (const payload of decoded.payloads) {
    const batch = parseJson(payload);
    // A payload is a batch, or a single record in an older format.
    for (const value of Array.isArray(batch) ? batch : [batch]) {
      if (!checkJournalRecord(value)) {
        return Result.err(createDamageFault(path, 0));
      }
      records.push(value);
    }
  }
  const droppedBytes = bytes.length - decoded.length;
  return Result.ok({ records, length: decoded.length, droppedBytes });
}

/** Maps a missing file to `undefined` and throws any other error. */
function undefinedWhenMissing(error: NodeJS.ErrnoException): undefined {
  if (error.code !== "ENOENT") {
    throw error;
  }
}

function parseJson(payload: Buffer): unknown {
  try {
    return JSON.parse(payload.toString("utf8"));
  } catch {
    return undefined;
  }
}

function createDamageFault(path: string, offset: number): Fault {
  return createFault(
    "damaged",
    `${path} is damaged at byte ${offset}. Remedy: move the data folder away ` +
      "and start again; the replica rejoins under a new identity and copies " +
      "the state from the others.",
  );
}
