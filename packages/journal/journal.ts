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

/** What a journal held when it was opened. */
type JournalContent = {
  readonly snapshot: LogSnapshot | undefined;
  readonly records: readonly JournalRecord[];
  /** Bytes of an unfinished last record that were dropped. */
  readonly droppedBytes: number;
};

/** One append with its place in the file sequence. */
type Batch = {
  readonly records: readonly JournalRecord[];
  readonly snapshot?: LogSnapshot;
};

const JOURNAL_NAME = /^journal-(\d+)\.log$/;

/**
 * The synced record log of one replica in one data folder. File
 * `journal-N.log` holds the records behind `snapshot-N.bin`; a new snapshot
 * starts the next N, and the older files are removed only after that.
 *
 * @public
 */
export class Journal {
  readonly #folder: string;
  #handle: FileHandle;
  #generation: number;

  private constructor(
    folder: string,
    options: { handle: FileHandle; generation: number },
  ) {
    this.#folder = folder;
    this.#handle = options.handle;
    this.#generation = options.generation;
  }

  /** Opens the journal of a folder and reads what it holds. */
  static async open(
    folder: string,
  ): Promise<Result<{ journal: Journal; content: JournalContent }, Fault>> {
    await mkdir(folder, { recursive: true });
    const generation = await findGeneration(folder);
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
    // Drops a torn tail for good, so that no later append hides it.
    await handle.truncate(read.value.length);
    await handle.sync();
    await syncFolder(folder);
    await removeOthers(folder, generation);
    const journal = new Journal(folder, { handle, generation });
    const content = {
      snapshot: snapshot.value,
      records: read.value.records,
      droppedBytes: read.value.droppedBytes,
    };
    return Result.ok({ journal, content });
  }

  /** Writes batches in order and syncs once. */
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
      await this.#handle.appendFile(encodeBatch(records));
    }
  }

  async #startGeneration(
    snapshot: LogSnapshot,
    records: readonly JournalRecord[],
  ): Promise<void> {
    const next = this.#generation + 1;
    const bytes = records.length === 0 ? Buffer.alloc(0) : encodeBatch(records);
    await writeFileDurably(
      snapshotPath(this.#folder, next),
      recordCodec.encode(Buffer.from(JSON.stringify(snapshot))),
    );
    // The journal's name makes the generation valid, so it comes last.
    await writeFileDurably(journalPath(this.#folder, next), bytes);
    await this.#handle.close();
    this.#handle = await open(journalPath(this.#folder, next), "a");
    this.#generation = next;
    await removeOthers(this.#folder, next);
  }
}

/**
 * Everything that is written before one sync stands under one checksum. A
 * loss of power can keep later parts of an unsynced write and lose earlier
 * ones; a whole record behind a torn one then always means damage.
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

async function findGeneration(folder: string): Promise<number> {
  let latest = 0;
  for (const name of await readdir(folder)) {
    const match = JOURNAL_NAME.exec(name);
    if (match !== null) {
      latest = Math.max(latest, Number(match[1]));
    }
  }
  return latest;
}

async function removeOthers(
  folder: string,
  generation: number,
): Promise<void> {
  const kept = [`journal-${generation}.log`, `snapshot-${generation}.bin`];
  for (const name of await readdir(folder)) {
    const ours = /^(journal|snapshot)-\d+\.(log|bin)(\.new)?$/.test(name);
    if (ours && !kept.includes(name)) {
      await unlink(join(folder, name));
    }
  }
}

async function readSnapshot(
  folder: string,
  generation: number,
): Promise<Result<LogSnapshot | undefined, Fault>> {
  if (generation === 0) {
    return Result.ok(undefined);
  }
  const path = snapshotPath(folder, generation);
  const bytes = await readFile(path).catch(undefinedWhenMissing);
  const record = bytes === undefined ? undefined : recordCodec.decode(bytes, 0);
  const value = record === undefined ? undefined : parse(record.payload);
  if (!checkLogSnapshot(value)) {
    return Result.err(describeDamage(path, 0));
  }
  return Result.ok(value);
}

/** Records of a file and how much of the file they take. */
type ReadRecords = {
  readonly records: JournalRecord[];
  readonly length: number;
  readonly droppedBytes: number;
};

async function readRecords(path: string): Promise<Result<ReadRecords, Fault>> {
  const bytes = await readFile(path).catch(undefinedWhenMissing);
  if (bytes === undefined) {
    return Result.err(describeDamage(path, 0));
  }
  const decoded = decodeRecords(bytes);
  if (decoded.kind === "damaged") {
    return Result.err(describeDamage(path, decoded.offset));
  }
  const records: JournalRecord[] = [];
  for (const payload of decoded.payloads) {
    const batch = parse(payload);
    // Journals of earlier releases hold single records.
    for (const value of Array.isArray(batch) ? batch : [batch]) {
      if (!checkJournalRecord(value)) {
        return Result.err(describeDamage(path, 0));
      }
      records.push(value);
    }
  }
  const droppedBytes = bytes.length - decoded.length;
  return Result.ok({ records, length: decoded.length, droppedBytes });
}

/** A missing file is damage to report; any other read error is thrown. */
function undefinedWhenMissing(error: NodeJS.ErrnoException): undefined {
  if (error.code !== "ENOENT") {
    throw error;
  }
}

function parse(payload: Buffer): unknown {
  try {
    return JSON.parse(payload.toString("utf8"));
  } catch {
    return undefined;
  }
}

function describeDamage(path: string, offset: number): Fault {
  return createFault(
    "damaged",
    `${path} is damaged at byte ${offset}. Remedy: move the data folder away ` +
      "and start again; the replica rejoins under a new identity and copies " +
      "the state from the others.",
  );
}
