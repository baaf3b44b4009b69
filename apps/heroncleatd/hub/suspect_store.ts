import { readFile } from "node:fs/promises";
import { join } from "node:path";
import type { Clock, Milliseconds } from "@heroncleat/base";
import { writeFileDurably } from "@heroncleat/journal";
import type { ReportedSuspect, SuspectRegistry } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";

const FILE_NAME = "suspects.json";
const VERSION = 1;
const WRITE_INTERVAL: Milliseconds = 100;
/**
 * A single crash during a request is most likely a coincidence and isn't
 * stored.
 */
const MIN_STORED_CRASHES = 2;

type StoreOptions = {
  readonly registry: SuspectRegistry;
  readonly folder: string;
  readonly clock: Clock;
  readonly log: Log;
};

/** Content of the file. */
type StoredSuspects = {
  readonly version: number;
  /** Wall clock, in ms since 1970, at which the ages were computed. */
  readonly wall: Milliseconds;
  readonly suspects: readonly ReportedSuspect[];
};

/**
 * Persists the requests that upstreams crashed on, so that they are still
 * suspected after all processes restart at once and don't crash as many again.
 */
export class SuspectStore {
  readonly #options: StoreOptions;
  #timer: NodeJS.Timeout | undefined;
  #writtenRevision = 0;
  #isWriting = false;
  #hasFailed = false;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  /** Merges the stored suspects into the registry. */
  async read(): Promise<void> {
    const { registry, folder, clock, log } = this.#options;
    let text: string;
    try {
      text = await readFile(join(folder, FILE_NAME), "utf8");
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== "ENOENT") {
        this.#warnUnreadable(error);
      }
      return;
    }
    try {
      const stored = JSON.parse(text) as StoredSuspects;
      if (stored.version !== VERSION) {
        return;
      }
      const elapsed = Math.max(0, clock.wall() - stored.wall);
      const aged = stored.suspects.map((suspect) =>
        addToAges(suspect, elapsed)
      );
      registry.merge(aged, clock.steady());
      log.info("Restored suspected requests", {
        count: aged.length,
      });
    } catch (error) {
      this.#warnUnreadable(error);
    }
  }

  start(): void {
    this.#timer = setInterval(
      () => void this.#writeIfChanged(),
      WRITE_INTERVAL,
    );
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #warnUnreadable(error: unknown): void {
    this.#options.log.warn(
      "Can't read the stored suspected requests; starting with none",
      { error: String(error) },
    );
  }

  async #writeIfChanged(): Promise<void> {
    const { registry, folder, clock, log } = this.#options;
    const revision = registry.changedAt;
    if (this.#isWriting || revision <= this.#writtenRevision) {
      return;
    }
    this.#isWriting = true;
    try {
      const suspects = registry.changesSince(0, clock.steady())
        .filter(({ crashes }) => crashes.length >= MIN_STORED_CRASHES);
      const stored: StoredSuspects = {
        version: VERSION,
        wall: clock.wall(),
        suspects,
      };
      const bytes = Buffer.from(JSON.stringify(stored));
      await writeFileDurably(join(folder, FILE_NAME), bytes);
      this.#writtenRevision = revision;
      this.#hasFailed = false;
    } catch (error) {
      // The next interval retries; only the first failure in a row is logged.
      if (!this.#hasFailed) {
        log.warn("Can't store the suspected requests", {
          error: String(error),
        });
      }
      this.#hasFailed = true;
    }
    this.#isWriting = false;
  }
}

function addToAges(
  suspect: ReportedSuspect,
  elapsed: Milliseconds,
): ReportedSuspect {
  const { answeredAge, crashes } = suspect;
  return {
    ...suspect,
    crashes: crashes.map(({ upstream, sentAge, endedAge }) => ({
      upstream,
      sentAge: sentAge + elapsed,
      endedAge: endedAge + elapsed,
    })),
    answeredAge: answeredAge === undefined ? undefined : answeredAge + elapsed,
  };
}
