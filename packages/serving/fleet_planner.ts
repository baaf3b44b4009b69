import type { Milliseconds } from "@heroncleat/base";
import { DemandEstimate } from "./demand_estimate.ts";
import type { FleetOrder } from "./fleet_order.ts";
import type { ScaleLimits, Service } from "./service.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/** How large a fleet is held. @public */
export type FleetSettings = {
  /** Reclaimable upstreams in a zone before there is load, as part of most. */
  readonly initialShare: number;
  /** Part of an upstream's time that reading prompts may take. */
  readonly utilization: number;
  /** Requests under way for which one upstream is held. */
  readonly requestsEach: number;
};

/** Time after a refused order or a reclaim before the next try. */
const REFUSED_PAUSE: Milliseconds = 2000;
/** Time for which a refusal says that none are to be had. */
const REFUSED_MEMORY: Milliseconds = 3000;
/** Time beyond the boot after which an order is taken to have failed. */
const BOOT_MARGIN: Milliseconds = 2000;
/**
 * Part of the largest zone's reclaimable upstreams that isn't counted on, as
 * any zone may lose them within seconds. Without it worth fell from 0.602 to
 * 0.525 in a trial on bordvakt-prod quiet-1.
 */
const RISK_SHARE = 0.5;
/** Time after which an order that shows no effect is given again. */
const REPEAT_AFTER: Milliseconds = 6000;
/** Time reclaimable upstreams must have stood before others are let go. */
const LET_GO_AFTER: Milliseconds = 1200;

/** Time for which reclaimable upstreams are held for a load that fell. */
const HELD_FOR: Milliseconds = 30_000;

/** One order and what became of it. */
type Given = {
  count: number;
  at: Milliseconds;
  refusedUntil: Milliseconds;
  refusedAt: Milliseconds;
};

/** What a plan is made from, for a service that may be scaled. */
type PlanOptions = {
  readonly scale: ScaleLimits;
  readonly upstreams: readonly UpstreamRecord[];
  readonly isIdle: boolean;
  readonly now: Milliseconds;
};

/**
 * Plans how many upstreams of each kind to hold in each availability zone.
 * Reclaimable ones carry the load, spread so that a zone can be lost;
 * on-demand ones fill in where those can't be had.
 *
 * @public
 */
export class FleetPlanner {
  readonly #settings: FleetSettings;
  readonly #given = new Map<string, Given>();
  /** Since when fewer are ready than ordered, by kind and zone. */
  readonly #shortSince = new Map<string, Milliseconds>();
  /** How many on-demand upstreams would do, and since when. */
  #surplus: { most: number; since: Milliseconds } | undefined;
  readonly #demand = new DemandEstimate();
  /** Reclaimable upstreams wanted in a zone, and when so many were needed. */
  #spots = { count: 0, neededAt: -Infinity };

  constructor(settings: FleetSettings) {
    this.#settings = settings;
  }

  /** Orders that are due now. */
  plan(
    service: Service,
    options: {
      upstreams: readonly UpstreamRecord[];
      /** Whether no request was ever under way. */
      isIdle: boolean;
      /** Requests under way at the upstreams of the service. */
      requests: number;
      /** Time to read all prompts sent so far, in ms. */
      readWork: Milliseconds;
      now: Milliseconds;
    },
  ): FleetOrder[] {
    const { scale } = service;
    if (scale === undefined) {
      return [];
    }
    this.#demand.note(options, options.now);
    const orders: FleetOrder[] = [];
    for (const wanted of this.#wanted(service, { ...options, scale })) {
      if (this.#isDue(wanted, options)) {
        this.#note(wanted, options.now);
        orders.push(wanted);
      }
    }
    return orders;
  }

  /** Notes that an order could not be met. */
  noteRefused(order: FleetOrder, now: Milliseconds): void {
    const given = this.#given.get(keyOf(order));
    if (given !== undefined) {
      given.refusedUntil = now + REFUSED_PAUSE;
      given.refusedAt = now;
      given.count = -1;
    }
  }

  /** Notes that it isn't known whether an order was carried out. */
  noteUnknown(order: FleetOrder): void {
    const given = this.#given.get(keyOf(order));
    if (given !== undefined) {
      given.count = -1;
    }
  }

  #wanted(service: Service, options: PlanOptions): FleetOrder[] {
    const zones = zonesByPrice(options.scale);
    const needed = this.#needed(options);
    const spotsWanted = this.#spotsPerZone(needed, options);
    const total = this.#onDemandWanted(service, {
      ...options,
      needed,
      spotsWanted,
    });
    const present = zones.map((zone) =>
      this.#onDemandIn(service, { ...options, zone })
    );
    // On-demand ones never take places that reclaimable ones will have; under
    // high load they cost more than they bring.
    const room = Math.max(0, options.scale.max - spotsWanted);
    const counts = spread(total, { present, room });
    const orders: FleetOrder[] = [];
    zones.forEach((zone, at) => {
      const count = counts[at]!;
      orders.push({ service: service.name, zone, isSpot: false, count });
    });
    for (const zone of zones) {
      const count = spotsWanted;
      orders.push({ service: service.name, zone, isSpot: true, count });
    }
    return orders;
  }

  /**
   * On-demand upstreams in all zones: what reclaimable ones, those that boot
   * included, leave uncovered. They are kept until the others stand.
   */
  #onDemandWanted(
    service: Service,
    options: PlanOptions & { needed: number; spotsWanted: number },
  ): number {
    const { upstreams, scale, isIdle, needed, spotsWanted, now } = options;
    const zones = zonesByPrice(scale);
    const ready = zones.map((zone) =>
      countReady(upstreams, { service, zone, isSpot: true })
    );
    const coming = zones.map((zone) =>
      this.#spotsComing(service, { ...options, zone, count: spotsWanted })
    );
    const present = sum(
      zones.map((zone) => this.#onDemandIn(service, { ...options, zone })),
    );
    if (isIdle) {
      const isEnough = sum(ready) >= spotsWanted * (zones.length - 1);
      return isEnough ? 0 : present;
    }
    const least = Math.max(0, needed - covered(coming));
    const most = Math.max(least, needed - covered(ready));
    if (present <= most) {
      this.#surplus = undefined;
      return Math.max(least, present);
    }
    if (this.#surplus === undefined || most < this.#surplus.most) {
      this.#surplus = { most, since: now };
    }
    return now - this.#surplus.since >= LET_GO_AFTER ? most : present;
  }

  /** On-demand upstreams of a zone, those that boot included. */
  #onDemandIn(
    service: Service,
    options: PlanOptions & { zone: string },
  ): number {
    const { upstreams, scale, zone, now } = options;
    const ready = countReady(upstreams, { service, zone, isSpot: false });
    const given = this.#given.get(
      keyOf({ service: service.name, zone, isSpot: false, count: 0 }),
    );
    const isBooting = given !== undefined &&
      now - given.at < scale.bootTime + BOOT_MARGIN;
    return isBooting ? Math.max(ready, given.count) : ready;
  }

  /** Reclaimable upstreams of a zone: those ordered, or those that stand. */
  #spotsComing(
    service: Service,
    options: PlanOptions & { zone: string; count: number },
  ): number {
    const { upstreams, scale, zone, count, now } = options;
    const order = { service: service.name, zone, isSpot: true, count };
    const ready = countReady(upstreams, { service, zone, isSpot: true });
    const { bootTime } = scale;
    return this.#isComing(order, { ready, bootTime, now }) ? count : ready;
  }

  /**
   * Whether what an order asks for can be counted on: it was not refused, and
   * has not been missing for longer than it takes to boot.
   */
  #isComing(
    order: FleetOrder,
    options: { ready: number; bootTime: Milliseconds; now: Milliseconds },
  ): boolean {
    const { ready, bootTime, now } = options;
    const key = keyOf(order);
    if (ready >= order.count) {
      this.#shortSince.delete(key);
      return true;
    }
    const since = this.#shortSince.get(key) ?? now;
    this.#shortSince.set(key, since);
    const refusedAt = this.#given.get(key)?.refusedAt ?? -Infinity;
    const isRefused = now - refusedAt < REFUSED_MEMORY;
    return !isRefused && now - since < bootTime + BOOT_MARGIN;
  }

  /** Upstreams that the load of the last seconds asks for. */
  #needed(options: { scale: ScaleLimits }): number {
    const { utilization, requestsEach } = this.#settings;
    const byWork = this.#demand.engines / utilization;
    const byRequests = this.#demand.requests / requestsEach;
    const zones = Object.keys(options.scale.zonePrices).length;
    return Math.max(zones, Math.ceil(Math.max(byWork, byRequests)));
  }

  /** So many that the load fits into all zones but one. */
  #spotsPerZone(
    needed: number,
    options: { scale: ScaleLimits; isIdle: boolean; now: Milliseconds },
  ): number {
    const { scale, isIdle, now } = options;
    const zones = Object.keys(scale.zonePrices).length;
    const wanted = isIdle
      ? scale.max * this.#settings.initialShare
      : needed / Math.max(1, zones - 1);
    const count = Math.min(scale.max, Math.max(1, Math.ceil(wanted)));
    const isOver = now - this.#spots.neededAt > HELD_FOR;
    if (count >= this.#spots.count || isOver) {
      this.#spots = { count, neededAt: now };
    }
    return this.#spots.count;
  }

  #isDue(
    order: FleetOrder,
    options: { upstreams: readonly UpstreamRecord[]; now: Milliseconds },
  ): boolean {
    const { now } = options;
    const given = this.#given.get(keyOf(order));
    if (given === undefined) {
      return true;
    }
    if (given.refusedUntil > now) {
      return false;
    }
    if (given.count !== order.count) {
      return true;
    }
    const present = countReady(options.upstreams, {
      service: { name: order.service },
      zone: order.zone,
      isSpot: order.isSpot,
    });
    return present !== order.count && now - given.at > REPEAT_AFTER;
  }

  #note(order: FleetOrder, now: Milliseconds): void {
    const refusedAt = this.#given.get(keyOf(order))?.refusedAt ?? -Infinity;
    this.#given.set(keyOf(order), {
      count: order.count,
      at: now,
      refusedUntil: 0,
      refusedAt,
    });
  }
}

function keyOf(order: FleetOrder): string {
  return `${order.service} ${order.zone} ${order.isSpot}`;
}

function countReady(
  upstreams: readonly UpstreamRecord[],
  options: { service: { name: string }; zone: string; isSpot: boolean },
): number {
  let ready = 0;
  for (const record of upstreams) {
    const matches = record.service === options.service.name &&
      record.zone === options.zone && record.isSpot === options.isSpot;
    ready += matches && record.state === "ready" ? 1 : 0;
  }
  return ready;
}

function zonesByPrice({ zonePrices }: ScaleLimits): string[] {
  return Object.keys(zonePrices).sort((left, right) =>
    zonePrices[left]! - zonePrices[right]!
  );
}

/** How many of the reclaimable upstreams of all zones are counted on. */
function covered(byZone: readonly number[]): number {
  return Math.floor(sum(byZone) - RISK_SHARE * Math.max(0, ...byZone));
}

/**
 * Spreads a number over zones, the cheapest first: those that are there stay
 * where they are, new ones go to two zones at least.
 */
function spread(
  total: number,
  options: { present: readonly number[]; room: number },
): number[] {
  const { present, room } = options;
  const counts = [...present];
  for (let at = counts.length - 1; at >= 0; at -= 1) {
    const over = Math.max(0, sum(counts) - total);
    counts[at] = Math.max(0, counts[at]! - over);
  }
  const share = Math.ceil(total / 2);
  for (const limit of [share, total]) {
    for (let at = 0; at < counts.length; at += 1) {
      const missing = Math.max(0, total - sum(counts));
      const fits = Math.max(0, Math.min(limit, room) - counts[at]!);
      counts[at] = counts[at]! + Math.min(missing, fits);
    }
  }
  return counts;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
