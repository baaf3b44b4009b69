import type { Milliseconds } from "@heroncleat/base";
import { median } from "./median.ts";

/**
 * Time for which a median over all entries stands. Clocks and reading speeds
 * move little in it, and computing them for each call takes a time that grows
 * with the square of the entries.
 */
const KEPT: Milliseconds = 200;
/** Time for which a measured reading speed counts after its entry went. */
const SPEED_KEPT: Milliseconds = 10_000;

/** What an entry measured. */
type Measured = {
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
  readonly #entries: ReadonlyMap<string, Measured>;
  readonly #silentAfter: Milliseconds;
  #wall = { madeAt: -Infinity, offset: undefined as Milliseconds | undefined };
  #speeds = { madeAt: -Infinity, byService: {} as Record<string, number> };

  /**
   * @param entries What each entry measured last; followed as it changes.
   * @param silentAfter Silence after which an entry's clock doesn't count.
   */
  constructor(
    entries: ReadonlyMap<string, Measured>,
    silentAfter: Milliseconds,
  ) {
    this.#entries = entries;
    this.#silentAfter = silentAfter;
  }

  /** Takes in that an entry has started. */
  reset(): void {
    this.#wall.madeAt = -Infinity;
    this.#speeds.madeAt = -Infinity;
  }

  /** The median of the wall clocks, moved on to `now`. */
  wall(now: Milliseconds): Milliseconds | undefined {
    if (now - this.#wall.madeAt >= KEPT) {
      const offsets: Milliseconds[] = [];
      for (const { receivedAt, wallOffset } of this.#entries.values()) {
        if (now - receivedAt < this.#silentAfter) {
          offsets.push(wallOffset);
        }
      }
      this.#wall = { madeAt: now, offset: median(offsets) };
    }
    const { offset } = this.#wall;
    return offset === undefined ? undefined : now + offset;
  }

  /** The median of the reading speeds, by service. */
  readingSpeeds(now: Milliseconds): Record<string, number> {
    if (now - this.#speeds.madeAt >= KEPT) {
      this.#speeds = { madeAt: now, byService: this.#measureSpeeds(now) };
    }
    return this.#speeds.byService;
  }

  #measureSpeeds(now: Milliseconds): Record<string, number> {
    const measured = new Map<string, number[]>();
    for (const { readingSpeeds, receivedAt } of this.#entries.values()) {
      if (now - receivedAt > SPEED_KEPT) {
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
