import type { Milliseconds } from "@heroncleat/base";
import { DemandEstimate } from "./demand_estimate.ts";
import type { FleetLoad } from "./fleet_load.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { RecentMaximum } from "./recent_maximum.ts";

/**
 * Time for which capacity is held after the demand fell. The load varies by
 * more than an upstream within seconds, and booting a new one takes as long.
 */
const HOLD_TIME: Milliseconds = 8000;

/**
 * Time to wait for a measured prefill speed after the first work. Sizing with
 * the reference speed until then can order far too many upstreams.
 */
const SPEED_TIMEOUT: Milliseconds = 8000;

/** Fraction of an upstream that is rounded down. */
const NEGLIGIBLE_SHARE = 0.1;

/**
 * Number of upstreams that the recent load of a service requires, by prefill
 * time and by concurrent requests, whichever is higher.
 *
 * @internal
 */
export class RequiredCapacity {
  readonly #settings: FleetSettings;
  readonly #demand = new DemandEstimate();
  readonly #required = new RecentMaximum(1, HOLD_TIME);
  #firstWorkAt: Milliseconds | undefined;

  constructor(settings: FleetSettings) {
    this.#settings = settings;
  }

  record(load: FleetLoad, now: Milliseconds): void {
    const { utilization, slotShare } = this.#settings;
    this.#demand.record(load.readWork, now);
    if (this.#awaitsSpeed(load, now)) {
      return;
    }
    const busyEngines = this.#demand.busyEngines * (load.prefillSpeed ?? 1);
    const upstreamsByPrefill = busyEngines / utilization;
    const upstreamsBySlots = load.slots === undefined
      ? 0
      : load.requests / (load.slots * slotShare);
    const required = Math.ceil(
      Math.max(upstreamsByPrefill, upstreamsBySlots) - NEGLIGIBLE_SHARE,
    );
    this.#required.record(Math.max(1, required), now);
  }

  #awaitsSpeed(load: FleetLoad, now: Milliseconds): boolean {
    if (load.readWork > 0) {
      this.#firstWorkAt ??= now;
    }
    return load.prefillSpeed === undefined && this.#firstWorkAt !== undefined &&
      now - this.#firstWorkAt < SPEED_TIMEOUT;
  }

  get value(): number {
    return this.#required.value;
  }
}
