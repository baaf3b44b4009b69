import { readFile } from "node:fs/promises";
import { join } from "node:path";
import type { Clock, Milliseconds } from "@heroncleat/base";
import { writeFileDurably } from "@heroncleat/journal";
import type { ReportedSuspect, SuspectRegistry } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";

const FILE_NAME = "suspects.json";
const VERSION = 1;
/** Pause between two looks whether something is to be written. */
const INTERVAL: Milliseconds = 100;
/** Ends from which on a request is kept; one alone is likely chance. */
const KEPT_FROM = 2;

/** What the store is built from. */
type StoreOptions = {
  readonly book: SuspectRegistry;
  readonly folder: string;
  readonly clock: Clock;
  readonly log: Log;
};

/** What is on disk. */
type StoredSuspects = {
  readonly version: number;
  /** Wall clock since 1970 at which the ages held. */
  readonly wall: Milliseconds;
  readonly suspects: readonly ReportedSuspect[];
};

/**
 * Keeps on disk which requests upstreams ended under. Where all processes lose
 * their memory at once, such a request would end as many upstreams again.
 */
export class CrashStore {
  readonly #options: StoreOptions;
  #timer: NodeJS.Timeout | undefined;
  #writtenRevision = 0;
  #isWriting = false;
  #hasFailed = false;

  constructor(options: StoreOptions) {
    this.#options = options;
  }

  /** Takes in what was kept. */
  async read(): Promise<void> {
    const { book, folder, clock, log } = this.#options;
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
      const since = Math.max(0, clock.wall() - stored.wall);
      const aged = stored.suspects.map((suspect) => olderBy(suspect, since));
      book.merge(aged, clock.steady());
      log.info("Knows requests under which upstreams ended", {
        count: aged.length,
      });
    } catch (error) {
      this.#warnUnreadable(error);
    }
  }

  /** Begins to write. */
  start(): void {
    this.#timer = setInterval(() => void this.#writeChanges(), INTERVAL);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #warnUnreadable(error: unknown): void {
    this.#options.log.warn(
      "Kept requests under which upstreams ended can't be read; none is known",
      { error: String(error) },
    );
  }

  async #writeChanges(): Promise<void> {
    const { book, folder, clock, log } = this.#options;
    const revision = book.changedAt;
    if (this.#isWriting || revision <= this.#writtenRevision) {
      return;
    }
    this.#isWriting = true;
    const suspects = book.changesSince(0, clock.steady())
      .filter(({ crashes }) => crashes.length >= KEPT_FROM);
    const stored: StoredSuspects = {
      version: VERSION,
      wall: clock.wall(),
      suspects,
    };
    try {
      const bytes = Buffer.from(JSON.stringify(stored));
      await writeFileDurably(join(folder, FILE_NAME), bytes);
      this.#writtenRevision = revision;
      this.#hasFailed = false;
    } catch (error) {
      // It is tried again at the next look; one line tells of them all.
      if (!this.#hasFailed) {
        log.warn("Requests under which upstreams ended can't be kept", {
          error: String(error),
        });
      }
      this.#hasFailed = true;
    }
    this.#isWriting = false;
  }
}

function olderBy(
  suspect: ReportedSuspect,
  by: Milliseconds,
): ReportedSuspect {
  const { answeredAge, crashes } = suspect;
  return {
    ...suspect,
    crashes: crashes.map(({ upstream, sentAge, endedAge }) => ({
      upstream,
      sentAge: sentAge + by,
      endedAge: endedAge + by,
    })),
    answeredAge: answeredAge === undefined ? undefined : answeredAge + by,
  };
}
