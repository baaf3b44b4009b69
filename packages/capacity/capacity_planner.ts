import type { Milliseconds } from "@heroncleat/base";
import type { CapacityEffect } from "./capacity_effect.ts";
import type { CapacitySettings } from "./capacity_settings.ts";
import type { HeldVm } from "./held_vm.ts";
import type { Offer } from "./offer.ts";
import { StartBackoff } from "./start_backoff.ts";

/** What a plan is made from. */
type Situation = {
  /** Slots in use or waited for. */
  readonly demand: number;
  readonly vms: readonly HeldVm[];
  readonly offers: readonly Offer[];
};

/**
 * Decides which VMs to hold: enough for the demand, cheapest first by price
 * and reclaim risk, and so spread that the loss of the largest zone still
 * leaves what the latency target needs.
 *
 * @public
 */
export class CapacityPlanner {
  readonly #settings: CapacitySettings;
  readonly #backoff: StartBackoff;
  #surplusSince: Milliseconds | undefined;

  constructor(settings: CapacitySettings) {
    this.#settings = settings;
    this.#backoff = new StartBackoff(settings.backoff, settings.mostBackoff);
  }

  startRefused(offer: Offer, now: Milliseconds): void {
    this.#backoff.refused(offer, now);
  }

  started(offer: Offer): void {
    this.#backoff.started(offer);
  }

  plan(situation: Situation, now: Milliseconds): CapacityEffect[] {
    const held = situation.vms.filter((vm) => vm.state !== "leaving");
    const starts = this.#planStarts(situation, { held, now });
    if (starts.length > 0) {
      this.#surplusSince = undefined;
      return starts.map((offer) => ({ kind: "start", offer }));
    }
    const surplus = this.#findSurplus(situation.demand, held);
    if (surplus === undefined) {
      this.#surplusSince = undefined;
      return [];
    }
    this.#surplusSince ??= now;
    if (now - this.#surplusSince < this.#settings.stopAfter) {
      return [];
    }
    return [{ kind: "stop", vm: surplus.name }];
  }

  #planStarts(
    situation: Situation,
    options: { held: readonly HeldVm[]; now: Milliseconds },
  ): Offer[] {
    const planned: Slots[] = [...options.held];
    const starts: Offer[] = [];
    while (starts.length < this.#settings.mostStarts) {
      const lack = this.#findLack(situation.demand, planned);
      if (lack === undefined) {
        return starts;
      }
      const offer = this.#chooseOffer(situation.offers, {
        lack,
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

  /** What is missing: anything, or capacity outside the largest zone. */
  #findLack(demand: number, planned: readonly Slots[]): Lack | undefined {
    const wanted = demand * this.#settings.headroom;
    const total = sumSlots(planned);
    const largest = largestZone(planned);
    const surviving = total - largest.slots;
    if (surviving < demand * this.#settings.survivingShare) {
      return { avoid: largest.zone };
    }
    return total < wanted ? { avoid: "" } : undefined;
  }

  /** The cheapest offer that helps and was not refused lately. */
  #chooseOffer(
    offers: readonly Offer[],
    options: { lack: Lack; now: Milliseconds },
  ): Offer | undefined {
    const usable = offers.filter((offer) =>
      offer.zone !== options.lack.avoid &&
      this.#backoff.allows(offer, options.now)
    );
    let chosen: Offer | undefined;
    for (const offer of usable) {
      if (
        chosen === undefined || this.#costOf(offer) < this.#costOf(chosen)
      ) {
        chosen = offer;
      }
    }
    return chosen;
  }

  #costOf(offer: Offer): number {
    const risk = offer.vmClass === "reclaimable"
      ? this.#settings.reclaimRisk
      : 0;
    return offer.price * (1 + risk) / offer.slots;
  }

  /** The dearest VM that can go without anything lacking then. */
  #findSurplus(
    demand: number,
    held: readonly HeldVm[],
  ): HeldVm | undefined {
    const serving = held.filter((vm) => vm.state === "serving");
    serving.sort((left, right) =>
      right.price / right.slots - left.price / left.slots
    );
    for (const vm of serving) {
      const rest = held.filter((other) => other !== vm);
      if (this.#findLack(demand, rest) === undefined) {
        return vm;
      }
    }
    return undefined;
  }
}

/** Capacity in one zone, held or offered. */
type Slots = Pick<Offer, "zone" | "slots">;

/** Zone in which more capacity would not help; empty for none. */
type Lack = { readonly avoid: string };

function sumSlots(vms: readonly Slots[]): number {
  let slots = 0;
  for (const vm of vms) {
    slots += vm.slots;
  }
  return slots;
}

function largestZone(vms: readonly Slots[]): Slots {
  const zones = new Map<string, number>();
  for (const vm of vms) {
    zones.set(vm.zone, (zones.get(vm.zone) ?? 0) + vm.slots);
  }
  let largest: Slots = { zone: "", slots: 0 };
  for (const [zone, slots] of zones) {
    if (slots > largest.slots) {
      largest = { zone, slots };
    }
  }
  return largest;
}
