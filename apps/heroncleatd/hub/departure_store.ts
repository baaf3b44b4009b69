import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { writeFileDurably } from "@heroncleat/journal";
import type { UpstreamRecord } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import { isStoredRecord } from "./is_stored_record.ts";

const FILE_NAME = "leaves.json";
const VERSION = 1;

/** A departure record and whether it is on disk. */
type StoredDeparture = { readonly record: UpstreamRecord; isWritten: boolean };

type StoreOptions = {
  readonly folder: string;
  readonly log: Log;
  /**
   * Whether an upstream instance has expired, so that its departure may be
   * dropped.
   */
  readonly isExpired: (id: string) => boolean;
};

/**
 * Persists the departures of upstreams. If all replicas restarted at once
 * without these records, a delayed heartbeat would make a departed upstream
 * eligible again.
 */
export class DepartureStore {
  readonly #options: StoreOptions;
  readonly #departures = new Map<string, StoredDeparture>();
  /**
   * The write in flight; errors are reported to the callers that wait for it.
   */
  #currentWrite: Promise<unknown> = Promise.resolve();
  /** The write after the one in flight; it includes all records added since. */
  #nextWrite: Promise<void> | undefined;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  /** Reads the departures that were stored before this process started. */
  async read(): Promise<readonly UpstreamRecord[]> {
    const { folder, log } = this.#options;
    try {
      const text = await readFile(join(folder, FILE_NAME), "utf8");
      const stored = JSON.parse(text) as {
        version: number;
        leaves: readonly unknown[];
      };
      const leaves = stored.version === VERSION ? stored.leaves : [];
      const records = leaves.filter(isStoredRecord);
      if (records.length < leaves.length) {
        log.warn("Leaves out stored departures that can't be read", {
          count: leaves.length - records.length,
        });
      }
      for (const record of records) {
        this.#departures.set(record.id, { record, isWritten: true });
      }
      return records;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
        log.warn(
          "Can't read the stored departures of upstreams; starting with none",
          {
            error: String(error),
          },
        );
      }
      return [];
    }
  }

  /**
   * Resolves once a departure is on disk; rejects if the write fails. Records
   * that arrive during a write share the next one, so that the departure of a
   * whole availability zone takes only a few writes.
   */
  async persist(record: UpstreamRecord): Promise<void> {
    const { id, state } = record;
    const existing = this.#departures.get(id);
    // A report that the upstream is draining may arrive after the report that
    // it is gone.
    if (existing?.record.state !== "gone" && existing?.record.state !== state) {
      this.#departures.set(id, { record, isWritten: false });
    }
    if (this.#departures.get(id)?.isWritten) {
      return;
    }
    this.#nextWrite ??= this.#currentWrite.then(() => this.#startNextWrite());
    await this.#nextWrite;
  }

  #startNextWrite(): Promise<void> {
    this.#nextWrite = undefined;
    const write = this.#write();
    this.#currentWrite = write.catch(() => {});
    return write;
  }

  async #write(): Promise<void> {
    const { folder, isExpired } = this.#options;
    for (const id of this.#departures.keys()) {
      if (isExpired(id)) {
        this.#departures.delete(id);
      }
    }
    const batch = [...this.#departures.values()];
    const records = batch.map(({ record }) => record);
    const text = JSON.stringify({ version: VERSION, leaves: records });
    await writeFileDurably(join(folder, FILE_NAME), Buffer.from(text));
    for (const departure of batch) {
      departure.isWritten = true;
    }
  }
}
