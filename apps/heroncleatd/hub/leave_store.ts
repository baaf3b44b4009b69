import { readFile } from "node:fs/promises";
import { join } from "node:path";
import { writeFileDurably } from "@heroncleat/journal";
import type { UpstreamRecord } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";

const FILE_NAME = "leaves.json";
const VERSION = 1;

/** A leave, and whether it is on disk. */
type KeptLeave = { readonly record: UpstreamRecord; isWritten: boolean };

/** What the store is built from. */
type StoreOptions = {
  readonly folder: string;
  readonly log: Log;
  /** Whether a start is forgotten, so that its leave may be, too. */
  readonly isForgotten: (id: string) => boolean;
};

/**
 * Keeps on disk which upstreams leave. Where all replicas lose their memory at
 * once, an upstream that had left would be used again: by entries that hadn't
 * heard of it, and by all once a late heartbeat of it comes in.
 */
export class LeaveStore {
  readonly #options: StoreOptions;
  readonly #leaves = new Map<string, KeptLeave>();
  /** The write that is under way; its failure is its callers' to see. */
  #writing: Promise<unknown> = Promise.resolve();
  /** The write that follows it, with all that was added since. */
  #next: Promise<void> | undefined;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  /** Leaves that were kept before this process started. */
  async read(): Promise<readonly UpstreamRecord[]> {
    const { folder, log } = this.#options;
    try {
      const text = await readFile(join(folder, FILE_NAME), "utf8");
      const stored = JSON.parse(text) as {
        version: number;
        leaves: readonly UpstreamRecord[];
      };
      const leaves = stored.version === VERSION ? stored.leaves : [];
      for (const record of leaves) {
        this.#leaves.set(record.id, { record, isWritten: true });
      }
      return leaves;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
        log.warn("Kept leaves of upstreams can't be read; none is known", {
          error: String(error),
        });
      }
      return [];
    }
  }

  /**
   * Resolves once a leave is on disk; rejects where the disk takes nothing.
   * Those that come while a write is under way share the next one, so that a
   * whole availability zone that leaves costs a few writes.
   */
  async keep(record: UpstreamRecord): Promise<void> {
    const { id, state } = record;
    const known = this.#leaves.get(id);
    // Word that it drains may come after word that it is gone.
    if (known?.record.state !== "gone" && known?.record.state !== state) {
      this.#leaves.set(id, { record, isWritten: false });
    }
    if (this.#leaves.get(id)?.isWritten) {
      return;
    }
    this.#next ??= this.#writing.then(() => this.#writeNext());
    await this.#next;
  }

  #writeNext(): Promise<void> {
    this.#next = undefined;
    const write = this.#write();
    this.#writing = write.catch(() => {});
    return write;
  }

  async #write(): Promise<void> {
    const { folder, isForgotten } = this.#options;
    for (const id of this.#leaves.keys()) {
      if (isForgotten(id)) {
        this.#leaves.delete(id);
      }
    }
    const kept = [...this.#leaves.values()];
    const leaves = kept.map(({ record }) => record);
    const text = JSON.stringify({ version: VERSION, leaves });
    await writeFileDurably(join(folder, FILE_NAME), Buffer.from(text));
    for (const leave of kept) {
      leave.isWritten = true;
    }
  }
}
