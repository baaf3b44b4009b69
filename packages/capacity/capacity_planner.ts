import type { Milliseconds } from "@heroncleat/base";
import type { CapacityEffect } from "./capacity_effect.ts";
import type { CapacitySettings } from "./capacity_settings.ts";
import type { HeldVm } from "./held_vm.ts";
import type { Offer } from "./offer.ts";
import { StartBackoff } from "./start_backoff.ts";

/** The input of a plan. */
type FleetState = {
  /** Slots that running and queued requests occupy. */
  readonly demand: number;
  readonly vms: readonly HeldVm[];
  readonly offers: readonly Offer[];
};

/**
 * Decides which VMs to start and stop: enough for the demand, cheapest first by
 * price and reclaim risk, and distributed so that the other zones cover the
 * surviving share of the demand if the largest zone is lost.
 *
 * @public
 */
export class CapacityPlanner {
  readonly #settings: CapacitySettings;
  readonly #backoff: StartBackoff;
  #surplusSince: Milliseconds | undefined;

  constructor(settings: CapacitySettings) {
    this.#settings = settings;
    this.#backoff = new StartBackoff(
      settings.initialBackoff,
      settings.maxBackoff,
    );
  }

  recordStartRefusal(offer: Offer, now: Milliseconds): void {
    this.#backoff.recordRefusal(offer, now);
  }

  recordStart(offer: Offer): void {
    this.#backoff.reset(offer);
  }

  plan(fleet: FleetState, now: Milliseconds): CapacityEffect[] {
    const held = fleet.vms.filter((vm) => vm.state !== "leaving");
    const starts = this.#planStarts(fleet, { held, now });
    if (starts.length > 0) {
      this.#surplusSince = undefined;
      return starts.map((offer) => ({ kind: "start", offer }));
    }
    const surplus = this.#findSurplus(fleet.demand, held);
    if (surplus === undefined) {
      this.#surplusSince = undefined;
      return [];
    }
    this.#surplusSince ??= now;
    if (now - this.#surplusSince < this.#settings.scaleInDelay) {
      return [];
    }
    return [{ kind: "stop", vm: surplus.name }];
  }

  #planStarts(
    fleet: FleetState,
    options: { held: readonly HeldVm[]; now: Milliseconds },
  ): Offer[] {
    const planned: ZoneCapacity[] = [...options.held];
    const starts: Offer[] = [];
    while (starts.length < this.#settings.maxStarts) {
      const shortfall = this.#findShortfall(fleet.demand, planned);
      if (shortfall === undefined) {
        return starts;
      }
      const offer = this.#chooseOffer(fleet.offers, {
        shortfall,
        now: options.now,
      });
      if (offer === undefined) {
        return starts;
      }
      planned.push(offer);
      starts.push(offer);
    }
    return starts;
  }

  /** Returns a shortfall of the total, or of the zones besides the largest. */
  #findShortfall(
    demand: number,
    planned: readonly ZoneCapacity[],
  ): Shortfall | undefined {
    const required = demand * this.#settings.headroom;
    const total = sumSlots(planned);
    const largest = findLargestZone(planned);
    const surviving = total - largest.slots;
    if (surviving < demand * this.#settings.survivingShare) {
      return { excludedZone: largest.zone };
    }
    return total < required ? { excludedZone: "" } : undefined;
  }

  /** Chooses the cheapest offer that reduces the shortfall and may be tried. */
  #chooseOffer(
    offers: readonly Offer[],
    options: { shortfall: Shortfall; now: Milliseconds },
  ): Offer | undefined {
    const usable = offers.filter((offer) =>
      offer.zone !== options.shortfall.excludedZone &&
      this.#backoff.allowsStart(offer, options.now)
    );
    let chosen: Offer | undefined;
    for (const offer of usable) {
      if (
        chosen === undefined ||
        this.#expectedCost(offer) < this.#expectedCost(chosen)
      ) {
        chosen = offer;
      }
    }
    return chosen;
  }

  #expectedCost(offer: Offer): number {
    const risk = offer.vmClass === "reclaimable"
      ? this.#settings.reclaimRisk
      : 0;
    return offer.price * (1 + risk) / offer.slots;
  }

  /** Returns the most expensive VM whose stop causes no shortfall. */
  #findSurplus(
    demand: number,
    held: readonly HeldVm[],
  ): HeldVm | undefined {
    const serving = held.filter((vm) => vm.state === "serving");
    serving.sort((left, right) =>
      right.price / right.slots - left.price / left.slots
    );
    for (const vm of serving) {
      const remaining = held.filter((other) => other !== vm);
      if (this.#findShortfall(demand, remaining) === undefined) {
        return vm;
      }
    }
    return undefined;
  }
}

/** Capacity in one zone, held or offered. */
type ZoneCapacity = Pick<Offer, "zone" | "slots">;

/** The zone whose offers don't reduce the shortfall; empty for none. */
type Shortfall = { readonly excludedZone: string };

function sumSlots(vms: readonly ZoneCapacity[]): number {
  let slots = 0;
  for (const vm of vms) {
    slots += vm.slots;
  }
  return slots;
}

function findLargestZone(vms: readonly ZoneCapacity[]): ZoneCapacity {
  const zones = new Map<string, number>();
  for (const vm of vms) {
    zones.set(vm.zone, (zones.get(vm.zone) ?? 0) + vm.slots);
  }
  let largest: ZoneCapacity = { zone: "", slots: 0 };
  for (const [zone, slots] of zones) {
    if (slots > largest.slots) {
      largest = { zone, slots };
    }
  }
  return largest;
}
