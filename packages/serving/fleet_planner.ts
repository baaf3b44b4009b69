import type { Milliseconds } from "@heroncleat/base";
import type { FleetLoad } from "./fleet_load.ts";
import { FleetNeed } from "./fleet_need.ts";
import type { FleetOrder } from "./fleet_order.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { GivenOrders } from "./given_orders.ts";
import { RecentMaximum } from "./recent_maximum.ts";
import type { ScaleLimits } from "./scale_limits.ts";
import type { Service } from "./service.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * Part of the need that must be left when the fullest zone is reclaimed. The
 * rest boots within the notice and a second or two more, if it can be ordered;
 * while the control group is split nothing can.
 */
const SECURED_SHARE = 0.8;
/** Time for which reclaimable upstreams are held for a load that fell. */
const SPOTS_HELD: Milliseconds = 30_000;
/** Time for which on-demand upstreams are held that are no longer missing. */
const FILL_HELD: Milliseconds = 2500;
/**
 * Time after a start, or after another process planned, in which the fleet that
 * was found isn't made smaller: by then the load has been measured. A leader
 * that plans without it lets upstreams go under load and cuts their streams.
 */
const LEARN_FOR: Milliseconds = 8000;
/** Pause between two plans from which another process may have planned. */
const TAKEOVER_AFTER: Milliseconds = 1000;

/** What a plan is made from. */
type PlanOptions = {
  readonly upstreams: readonly UpstreamRecord[];
  /** Whether the system starts for the first time and saw no request yet. */
  readonly isIdle: boolean;
  readonly now: Milliseconds;
};

/** What there is of the service in one availability zone. */
type ZoneState = {
  readonly zone: string;
  /** Reclaimable and on-demand upstreams that take requests. */
  readonly spots: number;
  readonly onDemand: number;
  /** The same with those that boot. */
  readonly spotsSoon: number;
  readonly isRefused: boolean;
};

/**
 * Plans how many upstreams of each kind one service holds in each availability
 * zone. Reclaimable ones carry the load, so many that all zones but one bear
 * it. While some zone has fewer, on-demand ones fill in up to the need, and
 * ahead of the next reclaim up to part of it.
 *
 * It answers to days on which zones are reclaimed within seconds of each other
 * and no reclaimable ones are to be had for 12 s or more.
 *
 * @public
 */
export class FleetPlanner {
  #service: Service;
  readonly #settings: FleetSettings;
  readonly #need: FleetNeed;
  readonly #given = new GivenOrders();
  readonly #spots = new RecentMaximum(0, SPOTS_HELD);
  readonly #fill = new RecentMaximum(0, FILL_HELD);
  /** Since when this process plans, or could. */
  #plansSince: Milliseconds;
  #plannedAt: Milliseconds;

  constructor(
    service: Service,
    options: { settings: FleetSettings; now: Milliseconds },
  ) {
    this.#service = service;
    this.#settings = options.settings;
    this.#need = new FleetNeed(options.settings);
    this.#plansSince = options.now;
    this.#plannedAt = options.now;
  }

  /** Takes in that limits or prices of the service changed. */
  follow(service: Service): void {
    this.#service = service;
  }

  /**
   * Takes in the load; processes that may not order do so too, so that one
   * that takes over knows it.
   */
  observe(load: Omit<FleetLoad, "slots">, now: Milliseconds): void {
    this.#need.note({ ...load, slots: this.#service.engine?.slots }, now);
  }

  /** Orders that are due now. */
  plan(options: PlanOptions): FleetOrder[] {
    const { scale } = this.#service;
    if (scale === undefined) {
      return [];
    }
    this.#notePlan(options.now);
    const zones = this.#lookAt(scale, options);
    const orders: FleetOrder[] = [];
    for (const wanted of this.#wanted(zones, { ...options, scale })) {
      const state = zones.find(({ zone }) => zone === wanted.zone)!;
      const present = wanted.isSpot ? state.spots : state.onDemand;
      const { now } = options;
      if (this.#given.isDue(wanted, { present, now })) {
        this.#given.note(wanted, { present, now });
        orders.push(wanted);
      }
    }
    return orders;
  }

  noteAccepted(order: FleetOrder): void {
    this.#given.noteAccepted(order);
  }

  /** Notes that an order could not be met. */
  noteRefused(order: FleetOrder, now: Milliseconds): void {
    this.#given.noteRefused(order, now);
  }

  /** Notes that it isn't known whether an order was carried out. */
  noteUnknown(order: FleetOrder): void {
    this.#given.noteUnknown(order);
  }

  /** The zones of the service, the cheapest first. */
  #lookAt(scale: ScaleLimits, options: PlanOptions): ZoneState[] {
    const { upstreams, now } = options;
    const { name } = this.#service;
    const zones = Object.keys(scale.zonePrices).sort((left, right) =>
      scale.zonePrices[left]! - scale.zonePrices[right]!
    );
    return zones.map((zone) => {
      const kind = { service: name, zone, isSpot: true };
      const spots = countReady(upstreams, kind);
      this.#given.notePresent(kind, spots);
      const { bootTime } = scale;
      const booting = this.#given.countBooting(kind, {
        present: spots,
        bootTime,
        now,
      });
      return {
        zone,
        spots,
        onDemand: countReady(upstreams, { ...kind, isSpot: false }),
        spotsSoon: spots + booting,
        isRefused: this.#given.isRefused(kind, now),
      };
    });
  }

  #wanted(
    zones: readonly ZoneState[],
    options: PlanOptions & { scale: ScaleLimits },
  ): FleetOrder[] {
    const { scale } = options;
    const spots = this.#spotsPerZone(zones, options);
    const onDemand = this.#placeOnDemand(zones, { ...options, spots });
    const service = this.#service.name;
    const orders: FleetOrder[] = [];
    for (const [zone, count] of onDemand) {
      orders.push({ service, zone, isSpot: false, count });
    }
    for (const [zone, others] of onDemand) {
      const count = Math.min(spots, scale.max - others);
      orders.push({ service, zone, isSpot: true, count });
    }
    return orders;
  }

  /** So many that the load fits into all zones but one. */
  #spotsPerZone(
    zones: readonly ZoneState[],
    options: PlanOptions & { scale: ScaleLimits },
  ): number {
    const { scale, isIdle, now } = options;
    const others = Math.max(1, zones.length - 1);
    const wanted = isIdle
      ? scale.max * this.#settings.initialShare
      : this.#need.value / others;
    const found = this.#isLearning(now)
      ? Math.max(...zones.map(({ spots }) => spots))
      : 0;
    const count = Math.max(1, found, Math.ceil(wanted));
    this.#spots.note(Math.min(scale.max, count), now);
    return this.#spots.value;
  }

  /**
   * On-demand upstreams by zone, those that are there first. Before any load
   * those that were found make room for others, and are let go once these
   * boot.
   */
  #placeOnDemand(
    zones: readonly ZoneState[],
    options: PlanOptions & { scale: ScaleLimits; spots: number },
  ): Map<string, number> {
    const { scale, spots, isIdle, now } = options;
    if (isIdle) {
      const borne = spots * Math.max(1, zones.length - 1);
      const left = sum(soonIn(zones)) >= borne ? 0 : scale.max - spots;
      return new Map(zones.map(({ zone }) => [zone, left]));
    }
    let fill = this.#fillUnderLoad(zones, now);
    const counts = new Map(zones.map(({ zone }) => [zone, 0]));
    // Where no reclaimable ones are to be had, their places are free.
    const isDry = zones.some(({ isRefused }) => isRefused);
    const roomIn = ({ zone, spotsSoon }: ZoneState) =>
      scale.max - (isDry ? spotsSoon : spots) - counts.get(zone)!;
    for (const state of zones) {
      const count = Math.min(fill, state.onDemand, scale.max - state.spots);
      counts.set(state.zone, count);
      fill -= count;
    }
    for (const state of zones) {
      const count = Math.max(0, Math.min(fill, roomIn(state)));
      counts.set(state.zone, counts.get(state.zone)! + count);
      fill -= count;
    }
    return counts;
  }

  #fillUnderLoad(zones: readonly ZoneState[], now: Milliseconds): number {
    const need = this.#need.value;
    this.#fill.note(missingOf(need, soonIn(zones)), now);
    const present = sum(zones.map(({ onDemand }) => onDemand));
    if (this.#isLearning(now)) {
      return Math.max(this.#fill.value, present);
    }
    // What boots doesn't serve yet, so those that do stay until then.
    const readyIn = zones.map(({ spots }) => spots);
    const kept = Math.min(present, missingOf(need, readyIn));
    return Math.max(this.#fill.value, kept);
  }

  #notePlan(now: Milliseconds): void {
    if (now - this.#plannedAt > TAKEOVER_AFTER) {
      this.#plansSince = now;
    }
    this.#plannedAt = now;
  }

  #isLearning(now: Milliseconds): boolean {
    return now - this.#plansSince < LEARN_FOR;
  }
}

function soonIn(zones: readonly ZoneState[]): number[] {
  return zones.map(({ spotsSoon }) => spotsSoon);
}

/**
 * Upstreams that are missing beside reclaimable ones: now, and once the zone
 * with most of them is reclaimed.
 */
function missingOf(need: number, spots: readonly number[]): number {
  const total = sum(spots);
  const secured = total - Math.max(0, ...spots);
  // In a single zone nothing but a whole on-demand fleet would be secured.
  const ahead = spots.length > 1
    ? Math.ceil(need * SECURED_SHARE) - secured
    : 0;
  return Math.max(0, need - total, ahead);
}

function countReady(
  upstreams: readonly UpstreamRecord[],
  kind: Omit<FleetOrder, "count">,
): number {
  let ready = 0;
  for (const { service, zone, isSpot, state } of upstreams) {
    const matches = service === kind.service && zone === kind.zone &&
      isSpot === kind.isSpot;
    ready += matches && state === "ready" ? 1 : 0;
  }
  return ready;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
