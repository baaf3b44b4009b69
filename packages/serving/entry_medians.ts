import { createRecord, type Milliseconds } from "@heroncleat/base";
import { median } from "./median.ts";

/**
 * Time for which a median is cached. Computing one on every call would take
 * time quadratic in the number of entries.
 */
const MEDIAN_LIFETIME: Milliseconds = 200;
/**
 * Time for which the measured prefill speed of a departed entry still counts.
 */
const SPEED_RETENTION: Milliseconds = 10_000;

type EntryMeasurements = {
  readonly readingSpeeds: Readonly<Record<string, number>>;
  readonly receivedAt: Milliseconds;
  /** Wall clock of the entry minus the local clock. */
  readonly wallOffset: Milliseconds;
};

/**
 * Medians over all entries: of their wall clocks and of the prefill speeds that
 * they measured.
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
   * @param entries Last measurements of each entry; read on every computation.
   * @param timeout Time without a report after which an entry's clock is
   * ignored.
   */
  constructor(
    entries: ReadonlyMap<string, EntryMeasurements>,
    timeout: Milliseconds,
  ) {
    this.#entries = entries;
    this.#timeout = timeout;
  }

  /** Invalidates the cached medians, when an entry has started. */
  invalidate(): void {
    this.#wallClock.computedAt = -Infinity;
    this.#speeds.computedAt = -Infinity;
  }

  /** The median of the wall clocks, extrapolated to `now`. */
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

  /** The median of the prefill speeds, by service. */
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
    const byService = createRecord<number>();
    for (const [service, speeds] of measured) {
      byService[service] = median(speeds)!;
    }
    return byService;
  }
}
