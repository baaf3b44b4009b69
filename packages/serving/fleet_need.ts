import type { Milliseconds } from "@heroncleat/base";
import { DemandEstimate } from "./demand_estimate.ts";
import type { FleetLoad } from "./fleet_load.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { RecentMaximum } from "./recent_maximum.ts";

/**
 * Time for which a need that fell still counts. A load swings by more than an
 * upstream within seconds, and one that was let go takes seconds to boot.
 */
const NEED_HELD: Milliseconds = 8000;

/**
 * Time after the first work for which a speed that nobody has measured yet is
 * waited for. Measured speeds come 2 to 3 s into a load; counting with the
 * reference until then ordered 18 upstreams for a need of 7, held for 30 s.
 */
const SPEED_WAIT: Milliseconds = 8000;

/** Part of an upstream for which no other one is held. */
const NEGLIGIBLE = 0.1;

/**
 * How many upstreams the load of the last seconds asks for: by the time that
 * its prompts take to read, as the entries learned it, and by slots.
 *
 * @internal
 */
export class FleetNeed {
  readonly #settings: FleetSettings;
  readonly #demand = new DemandEstimate();
  readonly #needed = new RecentMaximum(1, NEED_HELD);
  #workSince: Milliseconds | undefined;

  constructor(settings: FleetSettings) {
    this.#settings = settings;
  }

  note(load: FleetLoad, now: Milliseconds): void {
    const { utilization, slotShare } = this.#settings;
    this.#demand.note(load.readWork, now);
    if (this.#awaitsSpeed(load, now)) {
      return;
    }
    const engines = this.#demand.engines * (load.readingSpeed ?? 1);
    const byWork = engines / utilization;
    const bySlots = load.slots === undefined
      ? 0
      : load.requests / (load.slots * slotShare);
    const needed = Math.ceil(Math.max(byWork, bySlots) - NEGLIGIBLE);
    this.#needed.note(Math.max(1, needed), now);
  }

  #awaitsSpeed(load: FleetLoad, now: Milliseconds): boolean {
    if (load.readWork > 0) {
      this.#workSince ??= now;
    }
    return load.readingSpeed === undefined && this.#workSince !== undefined &&
      now - this.#workSince < SPEED_WAIT;
  }

  get value(): number {
    return this.#needed.value;
  }
}
