import { readFile } from "node:fs/promises";
import { join } from "node:path";
import type { Milliseconds } from "@heroncleat/base";
import { writeFileDurably } from "@heroncleat/journal";
import type { Hub, ProcessUsage } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";

const FILE_NAME = "usage.json";
const VERSION = 1;
/** Pause between two writes; a write takes 2 syncs, 4 ms in all. */
const INTERVAL: Milliseconds = 100;
/** Part of the time that writes may take, so that the log gets its syncs. */
const DISK_SHARE = 0.2;
/** Part of the time that writing the counts out as text may take. */
const WORK_SHARE = 0.02;

/** What the store is built from. */
type StoreOptions = {
  readonly hub: Hub;
  readonly folder: string;
  readonly log: Log;
};

/**
 * Keeps the counts of the newest usage windows on disk. Entries hold them in
 * memory only, and where all processes are lost at once, so are the counts of
 * windows that nobody has settled: 144 of 900 requests of such a window weren't
 * reported without it.
 */
export class UsageStore {
  readonly #options: StoreOptions;
  #timer: NodeJS.Timeout | undefined;
  #written = "";
  #hasFailed = false;
  #isStopped = true;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  /** Begins to write. */
  start(): void {
    this.#isStopped = false;
    this.#schedule(INTERVAL);
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Takes in what was kept. */
  async read(): Promise<void> {
    const { folder, hub, log } = this.#options;
    try {
      const text = await readFile(join(folder, FILE_NAME), "utf8");
      const stored = JSON.parse(text) as { version: number; usage: unknown };
      if (stored.version === VERSION) {
        hub.mergeUsage(stored.usage as ProcessUsage);
      }
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
        log.warn("Kept usage counts can't be read; they start anew", {
          error: String(error),
        });
      }
    }
  }

  #schedule(pause: Milliseconds): void {
    // A write that was under way at a stop may end after the next start.
    clearTimeout(this.#timer);
    if (!this.#isStopped) {
      this.#timer = setTimeout(() => void this.#write(), pause);
      this.#timer.unref();
    }
  }

  async #write(): Promise<void> {
    const { folder, hub, log } = this.#options;
    const beganAt = performance.now();
    const text = JSON.stringify({ version: VERSION, usage: hub.recentUsage() });
    const startedAt = performance.now();
    const worked = startedAt - beganAt;
    if (text !== this.#written) {
      try {
        await writeFileDurably(join(folder, FILE_NAME), Buffer.from(text));
        this.#written = text;
        this.#hasFailed = false;
      } catch (error) {
        if (!this.#hasFailed) {
          log.warn("Usage counts can't be kept", { error: String(error) });
        }
        this.#hasFailed = true;
      }
    }
    const took = performance.now() - startedAt;
    this.#schedule(
      Math.max(INTERVAL, took / DISK_SHARE, worked / WORK_SHARE),
    );
  }
}
