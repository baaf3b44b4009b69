import type { Milliseconds } from "@heroncleat/base";
import type { FleetOrder } from "./fleet_order.ts";
import type { Service } from "./service.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

type SimulatedVm = {
  readonly record: UpstreamRecord;
  readonly readyAt: Milliseconds;
  endsAt: Milliseconds;
};

/**
 * Simulates a cloud in virtual time for tests of the fleet planner: boots,
 * reclaims with a notice, periods without spot VMs, and costs.
 *
 * @internal
 */
export class SimulatedCloud {
  readonly #service: Service;
  #vms: SimulatedVm[] = [];
  #unavailableUntil: Milliseconds = -Infinity;
  #createdCount = 0;
  #now: Milliseconds = -Infinity;
  /**
   * Cost from time 0 on; 1 is a second of an on-demand VM at price factor 1.
   */
  bill = 0;

  constructor(service: Service, options: { onDemandAtStart: number }) {
    this.#service = service;
    const zones = Object.keys(service.scale!.zonePrices);
    for (let index = 0; index < options.onDemandAtStart; index += 1) {
      const zone = zones[index % zones.length]!;
      this.#start(zone, { isSpot: false, readyAt: -Infinity });
    }
  }

  /** Number of VMs that are running now. */
  get runningCount(): number {
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

  /** Upstreams that have sent a heartbeat. */
  observe(now: Milliseconds): { upstreams: UpstreamRecord[] } {
    const upstreams: UpstreamRecord[] = [];
    for (const { record, readyAt, endsAt } of this.#vms) {
      if (readyAt <= now) {
        const state = endsAt === Infinity ? "ready" : "draining";
        upstreams.push({ ...record, state });
      }
    }
    return { upstreams };
  }

  /** Executes an order; returns whether it was accepted. */
  order(order: FleetOrder, now: Milliseconds): boolean {
    const { zone, isSpot, count } = order;
    const { max, bootTime } = this.#service.scale!;
    const inZone = this.#vms.filter(({ record, endsAt }) =>
      record.zone === zone && endsAt === Infinity
    );
    const sameKind = inZone.filter(({ record }) => record.isSpot === isSpot);
    for (const vm of sameKind.slice(count)) {
      vm.endsAt = now + 1000;
    }
    const missing = count - sameKind.length;
    if (missing <= 0) {
      return true;
    }
    if (isSpot && now < this.#unavailableUntil) {
      return false;
    }
    const startable = Math.min(missing, max - inZone.length);
    for (let index = 0; index < startable; index += 1) {
      this.#start(zone, { isSpot, readyAt: now + bootTime });
    }
    return true;
  }

  /** Reclaims the spot VMs of a zone; no zone provides spot VMs for a time. */
  reclaim(
    zone: string,
    options: {
      now: Milliseconds;
      notice: Milliseconds;
      unavailableFor: Milliseconds;
    },
  ): void {
    const { now, notice, unavailableFor } = options;
    this.#unavailableUntil = Math.max(
      this.#unavailableUntil,
      now + unavailableFor,
    );
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
    this.#createdCount += 1;
    this.#vms.push({
      readyAt: options.readyAt,
      endsAt: Infinity,
      record: {
        id: `vm${this.#createdCount}`,
        name: `vm${this.#createdCount}`,
        born: undefined,
        service: this.#service.name,
        address: `10.0.0.${this.#createdCount}:80`,
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
