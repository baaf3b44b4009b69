import { readFile } from "node:fs/promises";
import { join } from "node:path";
import type { Milliseconds } from "@heroncleat/base";
import { writeFileDurably } from "@heroncleat/journal";
import type { Hub, ProcessUsage } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";

const FILE_NAME = "usage.json";
const VERSION = 1;
/** A write takes two syncs, 4 ms in all. */
const MIN_WRITE_INTERVAL: Milliseconds = 100;
/**
 * Maximum share of time spent on writes, so that the journal's syncs aren't
 * delayed.
 */
const MAX_DISK_SHARE = 0.2;
/** Maximum share of time spent on serializing the counts. */
const MAX_SERIALIZATION_SHARE = 0.02;

type StoreOptions = {
  readonly hub: Hub;
  readonly folder: string;
  readonly log: Log;
};

/**
 * Persists the counts of recent usage windows. Entries keep them only in
 * memory, so without the file the counts of unsettled windows would be lost if
 * all processes restarted at once: 144 of 900 requests of such a window.
 */
export class UsageStore {
  readonly #options: StoreOptions;
  #timer: NodeJS.Timeout | undefined;
  #writtenText = "";
  #hasFailed = false;
  #isStopped = true;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  start(): void {
    this.#isStopped = false;
    this.#schedule(MIN_WRITE_INTERVAL);
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  /** Merges the stored counts into the hub. */
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
        log.warn("Can't read the stored usage counts; starting with none", {
          error: String(error),
        });
      }
    }
  }

  #schedule(pause: Milliseconds): void {
    // A write that was in flight at a stop may finish after the next start.
    clearTimeout(this.#timer);
    if (!this.#isStopped) {
      this.#timer = setTimeout(() => void this.#write(), pause);
      this.#timer.unref();
    }
  }

  async #write(): Promise<void> {
    const { folder, hub, log } = this.#options;
    const serializationStartedAt = performance.now();
    let writeStartedAt = serializationStartedAt;
    try {
      const usage = hub.recentUsage();
      const text = JSON.stringify({ version: VERSION, usage });
      writeStartedAt = performance.now();
      if (text !== this.#writtenText) {
        await writeFileDurably(join(folder, FILE_NAME), Buffer.from(text));
        this.#writtenText = text;
        this.#hasFailed = false;
      }
    } catch (error) {
      if (!this.#hasFailed) {
        log.warn("Can't store the usage counts", { error: String(error) });
      }
      this.#hasFailed = true;
    }
    const serializationTime = writeStartedAt - serializationStartedAt;
    const writeTime = performance.now() - writeStartedAt;
    this.#schedule(
      Math.max(
        MIN_WRITE_INTERVAL,
        writeTime / MAX_DISK_SHARE,
        serializationTime / MAX_SERIALIZATION_SHARE,
      ),
    );
  }
}
