import { createRecord } from "@heroncleat/base";
import { PrefillSpeed } from "./prefill_speed.ts";

/**
 * Prefill speeds by service, as measured by this entry and as reported for all
 * entries together.
 *
 * @internal
 */
export class PrefillSpeeds {
  readonly #speeds = new Map<string, PrefillSpeed>();

  forService(service: string): PrefillSpeed {
    const known = this.#speeds.get(service);
    if (known !== undefined) {
      return known;
    }
    const speed = new PrefillSpeed();
    this.#speeds.set(service, speed);
    return speed;
  }

  /** Multiples measured by this entry, by service. */
  measured(): Record<string, number> {
    const speeds = createRecord<number>();
    for (const [service, { measured }] of this.#speeds) {
      if (measured !== undefined) {
        speeds[service] = measured;
      }
    }
    return speeds;
  }

  /** Sets the multiples that all entries together measured, by service. */
  setReported(speeds: Readonly<Record<string, number>>): void {
    for (const [service, multiple] of Object.entries(speeds)) {
      this.forService(service).setReported(multiple);
    }
  }
}
