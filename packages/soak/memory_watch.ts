import { readFileSync } from "node:fs";
import type { Milliseconds } from "@heroncleat/base";

const CHECK_INTERVAL: Milliseconds = 50;
const KIB_PER_MIB = 1024;
const RESIDENT_KIB = /RssAnon:\s+(\d+)/;

type WatchedProcess = {
  readonly pid: number;
  readonly name: string;
  readonly kill: () => void;
};

/**
 * Kills processes that pass a memory limit, as a platform does. Pages of the
 * program itself aren't counted, as processes share them.
 */
export class MemoryWatch {
  readonly #limitMib: number;
  readonly #listProcesses: () => Iterable<WatchedProcess>;
  readonly #onExceeded: (name: string, mib: number) => void;
  #timer: NodeJS.Timeout | undefined;
  /** Most memory that a process had, in MiB. */
  peak = 0;

  constructor(options: {
    limitMib: number;
    listProcesses: () => Iterable<WatchedProcess>;
    onExceeded: (name: string, mib: number) => void;
  }) {
    this.#limitMib = options.limitMib;
    this.#listProcesses = options.listProcesses;
    this.#onExceeded = options.onExceeded;
  }

  start(): void {
    this.#timer = setInterval(() => this.#check(), CHECK_INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #check(): void {
    for (const { pid, name, kill } of this.#listProcesses()) {
      const mib = readResidentMib(pid);
      this.peak = Math.max(this.peak, mib);
      if (mib > this.#limitMib) {
        this.#onExceeded(name, mib);
        kill();
      }
    }
  }
}

/** Returns 0 for a process that has ended. */
function readResidentMib(pid: number): number {
  try {
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(RESIDENT_KIB.exec(status)?.[1] ?? 0) / KIB_PER_MIB;
  } catch {
    return 0;
  }
}
