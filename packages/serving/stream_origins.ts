import type { Milliseconds } from "@heroncleat/base";
import { dropOldest } from "./drop_oldest.ts";
import type { KnownOrigin } from "./known_origin.ts";

/** Bounds the memory; the oldest records are dropped beyond it. */
const MAX_RECORDS = 50_000;

/**
 * Records of one entry of where streams began: of those that it passes on
 * itself, and of those that it holds for other entries. A stream without a
 * record isn't resumed, so dropping one never mixes versions.
 *
 * @public
 */
export class StreamOrigins {
  readonly #records = new Map<string, KnownOrigin>();
  /** Streams that began at two places, by the time that this is forgotten. */
  readonly #contradictory = new Map<string, Milliseconds>();
  readonly #maxRecords: number;

  constructor({ maxRecords = MAX_RECORDS }: { maxRecords?: number } = {}) {
    this.#maxRecords = maxRecords;
  }

  get size(): number {
    return this.#records.size;
  }

  /** Streams that are known to have begun at two places. */
  get contradictoryCount(): number {
    return this.#contradictory.size;
  }

  /**
   * Records where a stream began. Two origins of one stream contradict each
   * other: its identifier was used twice, and neither counts.
   */
  record(stream: string, known: KnownOrigin): void {
    const earlier = this.get(stream, known.begunAt);
    const expiresAt = Math.max(known.expiresAt, earlier?.expiresAt ?? 0);
    this.#records.delete(stream);
    if (this.#contradictory.has(stream) || differ(earlier, known)) {
      this.#contradictory.set(stream, expiresAt);
      dropOldest(this.#contradictory, this.#maxRecords);
      return;
    }
    this.#records.set(stream, { ...known, ...earlier, expiresAt });
    dropOldest(this.#records, this.#maxRecords);
  }

  get(stream: string, now: Milliseconds): KnownOrigin | undefined {
    const known = this.#records.get(stream);
    return known !== undefined && known.expiresAt > now ? known : undefined;
  }

  expire(now: Milliseconds): void {
    for (const [stream, { expiresAt }] of this.#records) {
      if (expiresAt <= now) {
        this.#records.delete(stream);
      }
    }
    for (const [stream, expiresAt] of this.#contradictory) {
      if (expiresAt <= now) {
        this.#contradictory.delete(stream);
      }
    }
  }
}

function differ(
  earlier: KnownOrigin | undefined,
  { origin }: KnownOrigin,
): boolean {
  return earlier !== undefined &&
    (earlier.origin.service !== origin.service ||
      earlier.origin.version !== origin.version);
}
