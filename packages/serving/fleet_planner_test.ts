import { FleetPlanner, type Service, type UpstreamRecord } from "./mod.ts";

const zones = ["a", "b", "c", "d"];
const service: Service = {
  name: "writers",
  maxConnections: 10,
  engine: undefined,
  scale: {
    min: 1,
    max: 10,
    bootTime: 4000,
    spotPrice: 0.2,
    zonePrices: { a: 1, b: 0.8, c: 1.2, d: 0.9 },
  },
};
const settings = {
  spotPerZone: 5,
  onDemandPerZone: 0,
  least: 8,
  most: 16,
  requestsEach: 5,
};
const quiet = { isIdle: false, requests: 0 };

/** Upstreams that are ready: so many reclaimable ones in each zone. */
function fleet(spots: readonly number[], onDemand = 0): UpstreamRecord[] {
  const records: UpstreamRecord[] = [];
  const add = (zone: string, isSpot: boolean) =>
    records.push({
      id: `u${records.length}`,
      service: "writers",
      address: "10.0.0.1:80",
      zone,
      slots: 64,
      sequence: 1,
      state: "ready",
      isSpot,
      leavesIn: undefined,
    });
  spots.forEach((count, at) => {
    for (let made = 0; made < count; made += 1) {
      add(zones[at]!, true);
    }
  });
  for (let made = 0; made < onDemand; made += 1) {
    add(zones[made % zones.length]!, false);
  }
  return records;
}

/** On-demand upstreams that the orders ask for in all. */
function onDemandIn(orders: ReturnType<FleetPlanner["plan"]>): number {
  let total = 0;
  for (const { isSpot, count } of orders) {
    total += isSpot ? 0 : count;
  }
  return total;
}

describe("the fleet planner", () => {
  test("orders reclaimable upstreams first and keeps what is there till then", () => {
    const planner = new FleetPlanner(settings);
    const found = fleet([0, 0, 0, 0], 12);
    const orders = planner.plan(service, {
      upstreams: found,
      isIdle: true,
      requests: 0,
      now: 0,
    });
    expect(orders.filter(({ isSpot }) => isSpot).map(({ count }) => count))
      .toEqual([5, 5, 5, 5]);
    expect(onDemandIn(orders)).toBe(12);
    const after = planner.plan(service, {
      upstreams: fleet([5, 5, 5, 5], 12),
      isIdle: true,
      requests: 0,
      now: 5000,
    });
    expect(onDemandIn(after)).toBe(0);
  });

  test("fills in one lost zone ahead", () => {
    const planner = new FleetPlanner(settings);
    const plan = (spots: number[]) =>
      onDemandIn(planner.plan(service, {
        ...quiet,
        upstreams: fleet(spots),
        now: 0,
      }));
    expect(plan([5, 5, 5, 5])).toBe(0);
    expect(plan([0, 5, 5, 5])).toBe(0);
    expect(
      new FleetPlanner(settings).plan(service, {
        ...quiet,
        upstreams: fleet([0, 0, 5, 5]),
        now: 0,
      }).filter(({ isSpot, count }) => !isSpot && count > 0).length,
    )
      .toBeGreaterThan(0);
  });

  test("holds more for more requests, within its bounds", () => {
    const needed = (requests: number) =>
      onDemandIn(
        new FleetPlanner(settings).plan(service, {
          isIdle: false,
          requests,
          upstreams: fleet([0, 0, 0, 0]),
          now: 0,
        }),
      );
    expect([needed(0), needed(60), needed(500)]).toEqual([8, 12, 16]);
  });

  test("gives no order twice, and a refused one after a pause", () => {
    const planner = new FleetPlanner(settings);
    const plan = (now: number) =>
      planner.plan(service, { ...quiet, upstreams: fleet([5, 5, 5, 5]), now });
    const orders = plan(0);
    expect(plan(100)).toEqual([]);
    const spot = orders.find(({ isSpot }) => isSpot)!;
    planner.noteRefused(spot, 100);
    expect(plan(1000)).toEqual([]);
    expect(plan(2200)).toEqual([spot]);
  });
});
