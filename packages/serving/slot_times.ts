import type { Milliseconds } from "@heroncleat/base";

/** Weight of the newest duration once there are enough. */
const MIN_WEIGHT = 1 / 64;

type SlotTime = { mean: Milliseconds; count: number };

/**
 * Learns by service how long a request holds a slot of its upstream: the
 * moving average of the durations of requests that have ended.
 *
 * @internal
 */
export class SlotTimes {
  readonly #times = new Map<string, SlotTime>();

  record(service: string, took: Milliseconds): void {
    const time = this.#times.get(service);
    if (time === undefined) {
      this.#times.set(service, { mean: took, count: 1 });
      return;
    }
    time.count += 1;
    time.mean += (took - time.mean) * Math.max(MIN_WEIGHT, 1 / time.count);
  }

  /** Mean time that a request holds a slot; undefined until one has ended. */
  of(service: string): Milliseconds | undefined {
    return this.#times.get(service)?.mean;
  }
}
