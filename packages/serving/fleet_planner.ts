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
/** Time for which a refusal says that none are to be had; tries take 2 s. */
const REFUSED_MEMORY: Milliseconds = 4500;
/**
 * Part of the upstreams needed below which the fleet must not fall, whatever
 * it costs. On days on which all zones were reclaimed under high load, one
 * upstream of 18 was left and a fifth of the requests failed.
 */
const BARE_SHARE = 0.6;
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
  /** When it was last refused, also by an order before this one. */
  refusedAt: Milliseconds;
};

/** What is there of one kind in one zone. */
type Present = { ready: number; leaving: number };

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
  #enoughSince: Milliseconds | undefined;
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
    this.#demand.note(options.readWork, options.now);
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

  #wanted(
    service: Service,
    options: {
      scale: ScaleLimits;
      upstreams: readonly UpstreamRecord[];
      isIdle: boolean;
      requests: number;
      now: Milliseconds;
    },
  ): FleetOrder[] {
    const { scale, upstreams, now, isIdle } = options;
    const zones = Object.keys(scale.zonePrices).sort((left, right) =>
      scale.zonePrices[left]! - scale.zonePrices[right]!
    );
    const needed = this.#needed(options);
    const spotsWanted = this.#spotsPerZone(needed, options);
    const spots = zones.map((zone) =>
      countPresent(upstreams, { service, zone, isSpot: true }).ready
    );
    const total = sum(spots);
    const isShort = total < spotsWanted * (zones.length - 1 / 2);
    const secured = total - Math.max(0, ...spots);
    let missing = isShort && !isIdle ? Math.max(0, needed - secured) : 0;
    const least = spotsWanted * (zones.length - 1);
    const mayLetGo = this.#mayLetGo({ isIdle, isShort, total, least, now });
    const present = zones.map((zone) =>
      countPresent(upstreams, { service, zone, isSpot: false }).ready
    );
    const room = scale.max - spotsWanted;
    const fills = zones.map((zone) => {
      const share = zone === zones.at(-1) ? missing : Math.ceil(missing / 2);
      const fill = Math.max(0, Math.min(room, share));
      missing -= fill;
      return fill;
    });
    // Where none are to be had, their places are free for on-demand ones.
    let bare = isShort && !isIdle
      ? Math.ceil(needed * BARE_SHARE) - total - sum(fills)
      : 0;
    const orders: FleetOrder[] = [];
    zones.forEach((zone, at) => {
      const isRefused = this.#isRefused({ service, zone, now });
      const free = isRefused ? scale.max - spots[at]! - fills[at]! : 0;
      const more = Math.max(0, Math.min(free, bare));
      bare -= more;
      const fill = fills[at]! + more;
      const count = mayLetGo ? fill : Math.max(fill, present[at]!);
      orders.push({ service: service.name, zone, isSpot: false, count });
    });
    for (const zone of zones) {
      const count = spotsWanted;
      orders.push({ service: service.name, zone, isSpot: true, count });
    }
    return orders;
  }

  /** Upstreams that the load of the last seconds asks for. */
  #needed(options: { scale: ScaleLimits; requests: number }): number {
    const { utilization, requestsEach } = this.#settings;
    const byWork = this.#demand.engines / utilization;
    const byRequests = options.requests / requestsEach;
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

  /** On-demand upstreams go once the others have stood for a while. */
  #mayLetGo(
    options: {
      isIdle: boolean;
      isShort: boolean;
      total: number;
      /** Reclaimable upstreams that must stand before there is load. */
      least: number;
      now: Milliseconds;
    },
  ): boolean {
    const { isIdle, isShort, total, least, now } = options;
    if (isIdle) {
      return total >= least;
    }
    if (isShort) {
      this.#enoughSince = undefined;
      return false;
    }
    this.#enoughSince ??= now;
    return now - this.#enoughSince >= LET_GO_AFTER;
  }

  /** Whether reclaimable upstreams were refused in a zone lately. */
  #isRefused(
    options: { service: Service; zone: string; now: Milliseconds },
  ): boolean {
    const { service, zone, now } = options;
    const key = keyOf({ service: service.name, zone, isSpot: true, count: 0 });
    const refusedAt = this.#given.get(key)?.refusedAt ?? -Infinity;
    return now - refusedAt < REFUSED_MEMORY;
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
    const present = countPresent(options.upstreams, {
      service: { name: order.service },
      zone: order.zone,
      isSpot: order.isSpot,
    });
    return present.ready !== order.count && now - given.at > REPEAT_AFTER;
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

function countPresent(
  upstreams: readonly UpstreamRecord[],
  options: { service: { name: string }; zone: string; isSpot: boolean },
): Present {
  const present: Present = { ready: 0, leaving: 0 };
  for (const record of upstreams) {
    const matches = record.service === options.service.name &&
      record.zone === options.zone && record.isSpot === options.isSpot;
    if (matches && record.state === "ready") {
      present.ready += 1;
    } else if (matches && record.state === "draining") {
      present.leaving += 1;
    }
  }
  return present;
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}
