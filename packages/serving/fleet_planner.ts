import type { Milliseconds } from "@heroncleat/base";
import type { FleetLoad } from "./fleet_load.ts";
import { RequiredCapacity } from "./required_capacity.ts";
import type { FleetOrder } from "./fleet_order.ts";
import type { FleetSettings } from "./fleet_settings.ts";
import { OrderHistory } from "./order_history.ts";
import { RecentMaximum } from "./recent_maximum.ts";
import type { ScaleLimits } from "./scale_limits.ts";
import type { Service } from "./service.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * Share of the required capacity that must remain when the zone with most spot
 * upstreams is reclaimed. The rest can boot soon after the reclaim notice.
 */
const SECURED_SHARE = 0.8;
/** Time for which spot upstreams are held after the load fell. */
const SPOT_HOLD_TIME: Milliseconds = 30_000;
/**
 * Time for which on-demand upstreams are held after they are no longer
 * required.
 */
const ON_DEMAND_HOLD_TIME: Milliseconds = 2500;
/**
 * Time after a start or a takeover in which the existing fleet isn't scaled
 * down. Until the load has been measured, scaling down would remove upstreams
 * that are in use and break their streams.
 */
const WARM_UP_TIME: Milliseconds = 8000;
/** Pause between two plans after which another process may have planned. */
const TAKEOVER_TIMEOUT: Milliseconds = 1000;

/** Inputs of a plan. */
type PlanOptions = {
  readonly upstreams: readonly UpstreamRecord[];
  /** Whether the system is new and has received no request yet. */
  readonly isIdle: boolean;
  readonly now: Milliseconds;
};

/** Upstreams of the service in one availability zone. */
type ZoneState = {
  readonly zone: string;
  /** Spot and on-demand upstreams that accept requests. */
  readonly spots: number;
  readonly onDemand: number;
  /** Spot upstreams including those that are booting. */
  readonly expectedSpots: number;
  readonly hasRecentRefusal: boolean;
};

/**
 * Plans the number of spot and on-demand upstreams of one service in each
 * availability zone. Spot upstreams suffice if all zones but one remain;
 * on-demand ones replace those that are missing.
 *
 * @public
 */
export class FleetPlanner {
  #service: Service;
  readonly #settings: FleetSettings;
  readonly #requiredCapacity: RequiredCapacity;
  readonly #orderHistory = new OrderHistory();
  readonly #spotsPerZone = new RecentMaximum(0, SPOT_HOLD_TIME);
  readonly #onDemandFill = new RecentMaximum(0, ON_DEMAND_HOLD_TIME);
  /** When this process began to plan without interruption by another one. */
  #planningSince: Milliseconds;
  #plannedAt: Milliseconds;

  constructor(
    service: Service,
    options: { settings: FleetSettings; now: Milliseconds },
  ) {
    this.#service = service;
    this.#settings = options.settings;
    this.#requiredCapacity = new RequiredCapacity(options.settings);
    this.#planningSince = options.now;
    this.#plannedAt = options.now;
  }

  /** Applies changed limits or prices of the service. */
  updateService(service: Service): void {
    this.#service = service;
  }

  /**
   * Records the load. Replicas that don't hold the leader task call this too,
   * so that they know the load when they take over.
   */
  observe(load: Omit<FleetLoad, "slots">, now: Milliseconds): void {
    this.#requiredCapacity.record({
      ...load,
      slots: this.#service.engine?.slots,
    }, now);
  }

  /** Returns the orders that are due, and records them as sent. */
  plan(options: PlanOptions): FleetOrder[] {
    const { scale } = this.#service;
    if (scale === undefined) {
      return [];
    }
    this.#recordPlan(options.now);
    const zones = this.#describeZones(scale, options);
    const orders: FleetOrder[] = [];
    for (const desired of this.#desiredOrders(zones, { ...options, scale })) {
      const state = zones.find(({ zone }) => zone === desired.zone)!;
      const present = desired.isSpot ? state.spots : state.onDemand;
      const { now } = options;
      if (this.#orderHistory.isDue(desired, { present, now })) {
        this.#orderHistory.record(desired, { present, now });
        orders.push(desired);
      }
    }
    return orders;
  }

  recordAccepted(order: FleetOrder): void {
    this.#orderHistory.recordAccepted(order);
  }

  recordRefused(order: FleetOrder, now: Milliseconds): void {
    this.#orderHistory.recordRefused(order, now);
  }

  /** Records that it isn't known whether an order was carried out. */
  recordUnknownOutcome(order: FleetOrder): void {
    this.#orderHistory.recordUnknownOutcome(order);
  }

  /** Zones of the service, cheapest first. */
  #describeZones(scale: ScaleLimits, options: PlanOptions): ZoneState[] {
    const { upstreams, now } = options;
    const { name } = this.#service;
    const zones = Object.keys(scale.zonePrices).sort((left, right) =>
      scale.zonePrices[left]! - scale.zonePrices[right]!
    );
    return zones.map((zone) => {
      const kind = { service: name, zone, isSpot: true };
      const spots = countReady(upstreams, kind);
      this.#orderHistory.recordPresent(kind, spots);
      const { bootTime } = scale;
      const bootingSpots = this.#orderHistory.countBooting(kind, {
        present: spots,
        bootTime,
        now,
      });
      return {
        zone,
        spots,
        onDemand: countReady(upstreams, { ...kind, isSpot: false }),
        expectedSpots: spots + bootingSpots,
        hasRecentRefusal: this.#orderHistory.hasRecentRefusal(kind, now),
      };
    });
  }

  #desiredOrders(
    zones: readonly ZoneState[],
    options: PlanOptions & { scale: ScaleLimits },
  ): FleetOrder[] {
    const { scale } = options;
    const spots = this.#countSpotsPerZone(zones, options);
    const onDemand = this.#placeOnDemand(zones, { ...options, spots });
    const service = this.#service.name;
    const orders: FleetOrder[] = [];
    for (const [zone, count] of onDemand) {
      orders.push({ service, zone, isSpot: false, count });
    }
    for (const [zone, onDemandCount] of onDemand) {
      const count = Math.min(spots, scale.max - onDemandCount);
      orders.push({ service, zone, isSpot: true, count });
    }
    return orders;
  }

  /**
   * Number of spot upstreams per zone with which all zones but one bear the
   * load.
   */
  #countSpotsPerZone(
    zones: readonly ZoneState[],
    options: PlanOptions & { scale: ScaleLimits },
  ): number {
    const { scale, isIdle, now } = options;
    const remainingZones = Math.max(1, zones.length - 1);
    const desired = isIdle
      ? scale.max * this.#settings.initialShare
      : this.#requiredCapacity.value / remainingZones;
    const existing = this.#isWarmingUp(now)
      ? Math.max(...zones.map(({ spots }) => spots))
      : 0;
    const count = Math.max(1, existing, Math.ceil(desired));
    this.#spotsPerZone.record(Math.min(scale.max, count), now);
    return this.#spotsPerZone.value;
  }

  /**
   * Distributes on-demand upstreams over the zones, keeping existing ones
   * first. Before the first request, existing on-demand upstreams leave room
   * for spot ones and are released once enough of these boot.
   */
  #placeOnDemand(
    zones: readonly ZoneState[],
    options: PlanOptions & { scale: ScaleLimits; spots: number },
  ): Map<string, number> {
    const { scale, spots, isIdle, now } = options;
    if (isIdle) {
      const sufficient = spots * Math.max(1, zones.length - 1);
      const onDemandPerZone = sum(expectedSpotsByZone(zones)) >= sufficient
        ? 0
        : scale.max - spots;
      return new Map(zones.map(({ zone }) => [zone, onDemandPerZone]));
    }
    let unplaced = this.#countOnDemandUnderLoad(zones, now);
    const counts = new Map(zones.map(({ zone }) => [zone, 0]));
    // While no spot upstreams are available, on-demand ones may use their
    // places.
    const areSpotsUnavailable = zones.some(({ hasRecentRefusal }) =>
      hasRecentRefusal
    );
    const capacityLeftIn = ({ zone, expectedSpots }: ZoneState) =>
      scale.max - (areSpotsUnavailable ? expectedSpots : spots) -
      counts.get(zone)!;
    for (const state of zones) {
      const count = Math.min(unplaced, state.onDemand, scale.max - state.spots);
      counts.set(state.zone, count);
      unplaced -= count;
    }
    for (const state of zones) {
      const count = Math.max(0, Math.min(unplaced, capacityLeftIn(state)));
      counts.set(state.zone, counts.get(state.zone)! + count);
      unplaced -= count;
    }
    return counts;
  }

  #countOnDemandUnderLoad(
    zones: readonly ZoneState[],
    now: Milliseconds,
  ): number {
    const required = this.#requiredCapacity.value;
    this.#onDemandFill.record(
      countMissing(required, expectedSpotsByZone(zones)),
      now,
    );
    const present = sum(zones.map(({ onDemand }) => onDemand));
    if (this.#isWarmingUp(now)) {
      return Math.max(this.#onDemandFill.value, present);
    }
    // Booting upstreams don't serve yet, so present ones are kept until they
    // do.
    const readySpots = zones.map(({ spots }) => spots);
    const kept = Math.min(present, countMissing(required, readySpots));
    return Math.max(this.#onDemandFill.value, kept);
  }

  #recordPlan(now: Milliseconds): void {
    if (now - this.#plannedAt > TAKEOVER_TIMEOUT) {
      this.#planningSince = now;
    }
    this.#plannedAt = now;
  }

  #isWarmingUp(now: Milliseconds): boolean {
    return now - this.#planningSince < WARM_UP_TIME;
  }
}

function expectedSpotsByZone(zones: readonly ZoneState[]): number[] {
  return zones.map(({ expectedSpots }) => expectedSpots);
}

/**
 * Number of upstreams missing beside the spot ones, either now or after the
 * zone with most spot upstreams is reclaimed, whichever is higher.
 */
function countMissing(required: number, spots: readonly number[]): number {
  const total = sum(spots);
  const remaining = total - Math.max(0, ...spots);
  // With a single zone, securing capacity would take a whole on-demand fleet.
  const missingAfterReclaim = spots.length > 1
    ? Math.ceil(required * SECURED_SHARE) - remaining
    : 0;
  return Math.max(0, required - total, missingAfterReclaim);
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
