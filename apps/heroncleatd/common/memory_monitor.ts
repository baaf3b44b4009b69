import type { Milliseconds } from "@heroncleat/base";
import type { Log } from "./log.ts";

/** Share of the memory limit above which the memory in use is logged. */
const LOGGED_SHARE = 0.7;
/** Further growth, as a share of the limit, that is logged again. */
const LOGGED_GROWTH = 0.05;
const CHECK_INTERVAL: Milliseconds = 500;
const MIB = 1024 * 1024;

type MonitorOptions = {
  /** Memory in bytes beyond which the process is killed. */
  readonly limit: number;
  readonly log: Log;
  /** Returns the resident memory in bytes. */
  readonly resident: () => number;
  /** Returns what may fill the memory, in bytes or by number. */
  readonly describe: () => Readonly<Record<string, number>>;
};

/**
 * Logs what fills the memory while it comes near its limit. A process that is
 * killed for its memory leaves no other line.
 */
export class MemoryMonitor {
  readonly #options: MonitorOptions;
  #loggedShare = 0;
  #isUnreadable = false;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: MonitorOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.check(), CHECK_INTERVAL);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Logs the memory in use if it is high and has grown. */
  check(): void {
    const { limit, log, describe } = this.#options;
    const bytes = this.#readResident();
    if (bytes === undefined) {
      return;
    }
    const share = bytes / limit;
    if (share < LOGGED_SHARE) {
      this.#loggedShare = 0;
      return;
    }
    if (share >= this.#loggedShare + LOGGED_GROWTH) {
      this.#loggedShare = share;
      log.warn("The memory in use is near its limit", {
        residentMb: Math.round(bytes / MIB),
        limitMb: Math.round(limit / MIB),
        ...describe(),
      });
    }
  }

  /** Undefined if it can't be read, as for want of a descriptor. */
  #readResident(): number | undefined {
    const { log, resident } = this.#options;
    try {
      const bytes = resident();
      this.#isUnreadable = false;
      return bytes;
    } catch (error) {
      if (!this.#isUnreadable) {
        this.#isUnreadable = true;
        log.warn(
          "The memory in use can't be read. Remedy: allow the process more " +
            "descriptors.",
          { error: String(error) },
        );
      }
      return undefined;
    }
  }
}
