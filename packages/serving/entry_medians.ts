import type { Milliseconds } from "@heroncleat/base";
import { median } from "./median.ts";

/**
 * Time for which a median over all entries stands. Clocks and reading speeds
 * move little in it, and computing them for each call takes a time that grows
 * with the square of the entries.
 */
const MEDIAN_LIFETIME: Milliseconds = 200;
/** Time for which a measured reading speed counts after its entry went. */
const SPEED_RETENTION: Milliseconds = 10_000;

/** What an entry measured. */
type EntryMeasurements = {
  readonly readingSpeeds: Readonly<Record<string, number>>;
  readonly receivedAt: Milliseconds;
  /** Wall clock of the entry less this process's clock. */
  readonly wallOffset: Milliseconds;
};

/**
 * What the middle one of all entries measured: the time of day, and how fast
 * engines read.
 *
 * @internal
 */
export class EntryMedians {
  readonly #entries: ReadonlyMap<string, EntryMeasurements>;
  readonly #timeout: Milliseconds;
  #wallClock = {
    computedAt: -Infinity,
    offset: undefined as Milliseconds | undefined,
  };
  #speeds = { computedAt: -Infinity, byService: {} as Record<string, number> };

  /**
   * @param entries What each entry measured last; followed as it changes.
   * @param timeout Silence after which an entry's clock doesn't count.
   */
  constructor(
    entries: ReadonlyMap<string, EntryMeasurements>,
    timeout: Milliseconds,
  ) {
    this.#entries = entries;
    this.#timeout = timeout;
  }

  /** Takes in that an entry has started. */
  invalidate(): void {
    this.#wallClock.computedAt = -Infinity;
    this.#speeds.computedAt = -Infinity;
  }

  /** The median of the wall clocks, moved on to `now`. */
  wallTime(now: Milliseconds): Milliseconds | undefined {
    if (now - this.#wallClock.computedAt >= MEDIAN_LIFETIME) {
      const offsets: Milliseconds[] = [];
      for (const { receivedAt, wallOffset } of this.#entries.values()) {
        if (now - receivedAt < this.#timeout) {
          offsets.push(wallOffset);
        }
      }
      this.#wallClock = { computedAt: now, offset: median(offsets) };
    }
    const { offset } = this.#wallClock;
    return offset === undefined ? undefined : now + offset;
  }

  /** The median of the reading speeds, by service. */
  readingSpeeds(now: Milliseconds): Record<string, number> {
    if (now - this.#speeds.computedAt >= MEDIAN_LIFETIME) {
      this.#speeds = { computedAt: now, byService: this.#computeSpeeds(now) };
    }
    return this.#speeds.byService;
  }

  #computeSpeeds(now: Milliseconds): Record<string, number> {
    const measured = new Map<string, number[]>();
    for (const { readingSpeeds, receivedAt } of this.#entries.values()) {
      if (now - receivedAt > SPEED_RETENTION) {
        continue;
      }
      for (const [service, speed] of Object.entries(readingSpeeds)) {
        const speeds = measured.get(service) ?? [];
        speeds.push(speed);
        measured.set(service, speeds);
      }
    }
    const byService: Record<string, number> = {};
    for (const [service, speeds] of measured) {
      byService[service] = median(speeds)!;
    }
    return byService;
  }
}
