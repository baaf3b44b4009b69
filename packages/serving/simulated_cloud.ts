import type { Milliseconds } from "@heroncleat/base";
import type { FleetOrder } from "./fleet_order.ts";
import type { Service } from "./service.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/** One VM of the simulated cloud. */
type SimulatedVm = {
  readonly record: UpstreamRecord;
  readonly readyAt: Milliseconds;
  endsAt: Milliseconds;
};

/**
 * A cloud in virtual time, for tests of what the planner does on a whole day:
 * boots, reclaims with a notice, times without reclaimable VMs, the bill.
 *
 * @internal
 */
export class SimulatedCloud {
  readonly #service: Service;
  #vms: SimulatedVm[] = [];
  #dryUntil: Milliseconds = -Infinity;
  #made = 0;
  #now: Milliseconds = -Infinity;
  /** Seconds of on-demand VMs at the price of 1, from time 0 on. */
  bill = 0;

  constructor(service: Service, options: { onDemandAtStart: number }) {
    this.#service = service;
    const zones = Object.keys(service.scale!.zonePrices);
    for (let made = 0; made < options.onDemandAtStart; made += 1) {
      const zone = zones[made % zones.length]!;
      this.#start(zone, { isSpot: false, readyAt: -Infinity });
    }
  }

  /** VMs that take requests now. */
  get working(): number {
    return this.#vms.filter(({ readyAt, endsAt }) =>
      readyAt <= this.#now && this.#now < endsAt
    ).length;
  }

  advance(now: Milliseconds): void {
    const elapsed = Math.max(0, now - Math.max(0, this.#now));
    this.#now = now;
    this.#vms = this.#vms.filter(({ endsAt }) => now < endsAt);
    const { spotPrice, zonePrices } = this.#service.scale!;
    for (const { record } of this.#vms) {
      const price = (record.isSpot ? spotPrice : 1) * zonePrices[record.zone]!;
      this.bill += Number.isFinite(elapsed) ? elapsed / 1000 * price : 0;
    }
  }

  /** What has announced itself. */
  see(now: Milliseconds): { upstreams: UpstreamRecord[] } {
    const upstreams: UpstreamRecord[] = [];
    for (const { record, readyAt, endsAt } of this.#vms) {
      if (readyAt <= now) {
        const state = endsAt === Infinity ? "ready" : "draining";
        upstreams.push({ ...record, state });
      }
    }
    return { upstreams };
  }

  /** Whether an order is met. */
  order(order: FleetOrder, now: Milliseconds): boolean {
    const { zone, isSpot, count } = order;
    const { max, bootTime } = this.#service.scale!;
    const inZone = this.#vms.filter(({ record, endsAt }) =>
      record.zone === zone && endsAt === Infinity
    );
    const alike = inZone.filter(({ record }) => record.isSpot === isSpot);
    for (const vm of alike.slice(count)) {
      vm.endsAt = now + 1000;
    }
    const missing = count - alike.length;
    if (missing <= 0) {
      return true;
    }
    if (isSpot && now < this.#dryUntil) {
      return false;
    }
    const room = Math.min(missing, max - inZone.length);
    for (let made = 0; made < room; made += 1) {
      this.#start(zone, { isSpot, readyAt: now + bootTime });
    }
    return true;
  }

  /** Takes a zone's reclaimable VMs; none are to be had anywhere for a time. */
  reclaim(
    zone: string,
    options: { now: Milliseconds; notice: Milliseconds; dryFor: Milliseconds },
  ): void {
    const { now, notice, dryFor } = options;
    this.#dryUntil = Math.max(this.#dryUntil, now + dryFor);
    for (const vm of this.#vms) {
      if (vm.record.zone === zone && vm.record.isSpot) {
        vm.endsAt = Math.min(vm.endsAt, now + notice);
      }
    }
  }

  #start(
    zone: string,
    options: { isSpot: boolean; readyAt: Milliseconds },
  ): void {
    this.#made += 1;
    this.#vms.push({
      readyAt: options.readyAt,
      endsAt: Infinity,
      record: {
        id: `vm${this.#made}`,
        name: `vm${this.#made}`,
        born: undefined,
        service: this.#service.name,
        address: `10.0.0.${this.#made}:80`,
        zone,
        slots: 64,
        sequence: 1,
        state: "ready",
        isSpot: options.isSpot,
        leavesIn: undefined,
      },
    });
  }
}
