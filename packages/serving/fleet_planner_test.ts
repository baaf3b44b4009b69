import fc from "fast-check";
import { FleetPlanner, type Service, type UpstreamRecord } from "./mod.ts";
import { SimulatedCloud } from "./simulated_cloud.ts";

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
const zones = ["a", "b", "c", "d"];
const settings = { initialShare: 0.5, utilization: 0.25, slotShare: 0.5 };
const INTERVAL = 200;

/** Ready upstreams: spot ones by zone, and on-demand ones over all zones. */
function createFleet(spots: readonly number[], onDemand = 0): UpstreamRecord[] {
  const records: UpstreamRecord[] = [];
  const add = (zone: string, isSpot: boolean) =>
    records.push({
      id: `u${records.length}`,
      name: `u${records.length}`,
      born: undefined,
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
    for (let index = 0; index < count; index += 1) {
      add(zones[at]!, true);
    }
  });
  for (let index = 0; index < onDemand; index += 1) {
    add(zones[index % zones.length]!, false);
  }
  return records;
}

/**
 * A planner that has observed a constant load, in busy engines, until a time.
 */
function createPlannerUnderLoad(engines: number, until: number): FleetPlanner {
  const planner = new FleetPlanner(service, { settings, now: 0 });
  for (let now = 0; now <= until; now += INTERVAL) {
    planner.observe(
      { readWork: engines * now, prefillSpeed: 1, requests: 0 },
      now,
    );
  }
  return planner;
}

type Orders = ReturnType<FleetPlanner["plan"]>;
const sumCounts = (orders: Orders, isSpot: boolean) =>
  orders.filter((order) => order.isSpot === isSpot)
    .reduce((sum, { count }) => sum + count, 0);

describe("the fleet planner", () => {
  test("orders whole numbers within the limits, whatever is there", () => {
    fc.assert(fc.property(
      fc.array(fc.nat(25), { minLength: 4, maxLength: 4 }),
      fc.nat(60),
      fc.double({ min: 0, max: 40, noNaN: true }),
      (spots, onDemand, engines) => {
        const planner = createPlannerUnderLoad(engines, 12_000);
        const orders = planner.plan({
          upstreams: createFleet(spots, onDemand),
          isIdle: false,
          now: 12_000,
        });
        for (const { count } of orders) {
          expect(Number.isInteger(count)).toBe(true);
          expect(count).toBeGreaterThanOrEqual(0);
          expect(count).toBeLessThanOrEqual(service.scale!.max);
        }
      },
    ));
  });

  test("orders spot upstreams first and releases on-demand ones for them", () => {
    const planner = new FleetPlanner(service, { settings, now: 0 });
    const orders = planner.plan({
      upstreams: createFleet([0, 0, 0, 0], 12),
      isIdle: true,
      now: 0,
    });
    expect(orders.filter(({ isSpot }) => isSpot).map(({ count }) => count))
      .toEqual([5, 5, 5, 5]);
    // A zone holds at most ten upstreams of both kinds.
    expect(orders.filter(({ isSpot }) => !isSpot).map(({ count }) => count))
      .toEqual([5, 5, 5, 5]);
    for (const order of orders) {
      planner.recordAccepted(order);
    }
    // Before any load, booting spot upstreams suffice.
    const after = planner.plan({
      upstreams: createFleet([0, 0, 0, 0], 12),
      isIdle: true,
      now: 200,
    });
    expect(after.map(({ isSpot, count }) => [isSpot, count]))
      .toEqual([[false, 0], [false, 0], [false, 0], [false, 0]]);
  });

  test("keeps on-demand upstreams before any load while spot ones are unavailable", () => {
    const planner = new FleetPlanner(service, { settings, now: 0 });
    const plan = (now: number) =>
      planner.plan({
        upstreams: createFleet([0, 0, 0, 0], 12),
        isIdle: true,
        now,
      });
    for (let now = 0; now < 10_000; now += INTERVAL) {
      for (const order of plan(now)) {
        expect(order.count).toBe(5);
        if (order.isSpot) {
          planner.recordRefused(order, now);
        }
      }
    }
  });

  test("holds enough spot upstreams that all zones but one bear the load", () => {
    // Prefill keeps two engines busy; at a utilization of 0.25 this requires 8.
    const planner = createPlannerUnderLoad(2, 60_000);
    const orders = planner.plan({
      upstreams: createFleet([3, 3, 3, 3]),
      isIdle: false,
      now: 60_000,
    });
    expect(sumCounts(orders, true)).toBe(4 * 3);
    expect(sumCounts(orders, false)).toBe(0);
  });

  test("holds more upstreams for more concurrent requests, at least one per zone", () => {
    const spots = (requests: number) => {
      const slotted = {
        ...service,
        engine: {
          slots: 8,
          kvCapacityTokens: 0,
          kvTokenBytes: 0,
          linkMbps: 0,
          canMove: false,
        },
      };
      const planner = new FleetPlanner(slotted, { settings, now: 0 });
      planner.observe({ readWork: 0, prefillSpeed: 1, requests }, 0);
      const options = { upstreams: [], isIdle: false, now: 100 };
      return sumCounts(planner.plan(options), true);
    };
    expect([spots(0), spots(60)]).toEqual([4, 20]);
  });

  test("adds on-demand upstreams ahead of the next reclaim and after it", () => {
    const countOnDemand = (spots: number[]) =>
      sumCounts(
        createPlannerUnderLoad(2, 60_000).plan({
          upstreams: createFleet(spots),
          isIdle: false,
          now: 60_000,
        }),
        false,
      );
    expect(countOnDemand([3, 3, 3, 3])).toBe(0);
    expect(countOnDemand([0, 3, 3, 3])).toBe(1);
    // Another reclaim would leave 3 of 8; 0.8 of the capacity is secured.
    expect(countOnDemand([0, 0, 3, 3])).toBe(4);
    expect(countOnDemand([0, 0, 0, 3])).toBe(7);
    expect(countOnDemand([0, 0, 0, 0])).toBe(8);
  });

  test("estimates a load within two seconds of its beginning", () => {
    const planner = new FleetPlanner(service, { settings, now: -20_000 });
    for (let now = -20_000; now <= 2000; now += INTERVAL) {
      const readWork = 2 * Math.max(0, now);
      planner.observe({ readWork, prefillSpeed: 1, requests: 0 }, now);
    }
    const orders = planner.plan({ upstreams: [], isIdle: false, now: 2000 });
    expect(sumCounts(orders, false)).toBeGreaterThanOrEqual(6);
    expect(sumCounts(orders, false)).toBeLessThanOrEqual(10);
  });

  test("holds no second fleet in a single zone", () => {
    const single = {
      ...service,
      scale: { ...service.scale!, zonePrices: { a: 1 } },
    };
    const planner = new FleetPlanner(single, { settings, now: 0 });
    for (let now = 0; now <= 60_000; now += INTERVAL) {
      planner.observe({ readWork: now, prefillSpeed: 1, requests: 0 }, now);
    }
    const onDemandAt = (spots: number) =>
      sumCounts(
        planner.plan({
          upstreams: createFleet([spots]),
          isIdle: false,
          now: 60_000,
        }),
        false,
      );
    expect(onDemandAt(4)).toBe(0);
    expect(onDemandAt(0)).toBe(4);
  });

  test("waits for a measured prefill speed before it scales up", () => {
    const planner = new FleetPlanner(service, { settings, now: -20_000 });
    const spotsAt = (now: number, prefillSpeed: number | undefined) => {
      const readWork = 4 * Math.max(0, now);
      planner.observe(
        { readWork, prefillSpeed, requests: 0 },
        now,
      );
      const orders = planner.plan({ upstreams: [], isIdle: false, now });
      return Math.max(
        0,
        ...orders.map(({ isSpot, count }) => isSpot ? count : 0),
      );
    };
    for (let now = -20_000; now <= 2400; now += INTERVAL) {
      expect(spotsAt(now, undefined)).toBeLessThanOrEqual(1);
    }
    // Work for four reference engines, on engines that are twice as fast.
    let maxSpots = 0;
    for (let now = 2600; now <= 6000; now += INTERVAL) {
      maxSpots = Math.max(maxSpots, spotsAt(now, 0.5));
    }
    expect(maxSpots).toBe(3);
  });

  test("replaces spot upstreams when all zones are reclaimed under load", () => {
    // The load requires the maximum number of spot upstreams in every zone.
    const planner = createPlannerUnderLoad(7.5, 60_000);
    const plan = (spots: number[], now: number) =>
      planner.plan({ upstreams: createFleet(spots), isIdle: false, now });
    const spots = plan([10, 10, 10, 10], 60_000).filter(({ isSpot }) => isSpot);
    expect(spots.map(({ count }) => count)).toEqual([10, 10, 10, 10]);
    for (const order of spots) {
      planner.recordRefused(order, 60_100);
    }
    expect(sumCounts(plan([0, 0, 0, 0], 60_200), false))
      .toBeGreaterThanOrEqual(22);
    // A pending retry doesn't change the on-demand orders.
    plan([0, 0, 0, 0], 62_200);
    expect(plan([0, 0, 0, 0], 62_400).filter(({ isSpot }) => !isSpot))
      .toEqual([]);
  });

  test("sends no order twice, and retries a refused one after a delay", () => {
    const planner = createPlannerUnderLoad(2, 60_000);
    const plan = (after: number) =>
      planner.plan({
        upstreams: createFleet([3, 3, 3, 3]),
        isIdle: false,
        now: 60_000 + after,
      });
    const spot = plan(0).find(({ isSpot }) => isSpot)!;
    expect(plan(100)).toEqual([]);
    planner.recordRefused(spot, 60_100);
    expect(plan(1000)).toEqual([]);
    expect(plan(2200)).toEqual([spot]);
  });

  test("holds spot upstreams for half a minute after the load fell", () => {
    const planner = createPlannerUnderLoad(2, 60_000);
    let work = 120_000;
    let spots = 12;
    const scaledDownAt: number[] = [];
    for (let now = 60_200; now <= 140_000; now += INTERVAL) {
      work += 0.2 * INTERVAL;
      planner.observe({ readWork: work, prefillSpeed: 1, requests: 0 }, now);
      const orders = planner.plan({
        upstreams: createFleet([spots / 4, spots / 4, spots / 4, spots / 4]),
        isIdle: false,
        now,
      });
      const ordered = sumCounts(orders, true);
      if (ordered > 0 && ordered < spots) {
        spots = ordered;
        scaledDownAt.push(now);
      }
    }
    expect(scaledDownAt[0]).toBeGreaterThan(90_000);
    expect(spots).toBe(4);
  });

  test("doesn't scale down right after a takeover from another process", () => {
    const planner = new FleetPlanner(service, { settings, now: -11_000 });
    for (let now = -11_000; now < 3000; now += INTERVAL) {
      const readWork = 4 * Math.max(0, now);
      planner.observe({ readWork, prefillSpeed: undefined, requests: 50 }, now);
    }
    for (let now = 3000; now < 10_000; now += INTERVAL) {
      planner.observe(
        { readWork: 4 * now, prefillSpeed: undefined, requests: 50 },
        now,
      );
      const orders = planner.plan({
        upstreams: createFleet([3, 3, 3, 3], 4),
        isIdle: false,
        now,
      });
      for (const { isSpot, count } of orders) {
        expect(count).toBeGreaterThanOrEqual(isSpot ? 3 : 1);
      }
    }
  });

  test("doesn't scale down an existing fleet before the load is measured", () => {
    const planner = new FleetPlanner(service, { settings, now: 0 });
    const plan = (now: number) => {
      planner.observe(
        { readWork: 2 * now, prefillSpeed: 1, requests: 30 },
        now,
      );
      return planner.plan({
        upstreams: createFleet([3, 3, 3, 3], 4),
        isIdle: false,
        now,
      });
    };
    const first = plan(0);
    expect(sumCounts(first, true)).toBe(12);
    expect(sumCounts(first, false)).toBe(4);
    for (let now = INTERVAL; now < 8000; now += INTERVAL) {
      for (const { isSpot, count } of plan(now)) {
        expect(count).toBeGreaterThanOrEqual(isSpot ? 3 : 1);
      }
    }
  });
});

/** Simulates a constant load, in busy engines, while zones are reclaimed. */
function simulateReclaims(
  reclaims: readonly { zone: string; at: number }[],
  options: { unavailableFor: number; until: number; engines?: number },
) {
  const { unavailableFor, until, engines = 2 } = options;
  const cloud = new SimulatedCloud(service, { onDemandAtStart: 12 });
  const planner = new FleetPlanner(service, {
    settings: { initialShare: 0.3, utilization: 0.6, slotShare: 0.6 },
    now: -10_000,
  });
  let minRunning = Infinity;
  let shortageTime = 0;
  for (let now = -10_000; now <= until; now += INTERVAL) {
    for (const { zone, at } of reclaims) {
      if (now === at) {
        cloud.reclaim(zone, {
          now,
          notice: 2500,
          unavailableFor,
        });
      }
    }
    cloud.advance(now);
    const isIdle = now < 0;
    planner.observe({
      readWork: engines * Math.max(0, now),
      prefillSpeed: 1,
      requests: 0,
    }, now);
    for (const order of planner.plan({ ...cloud.observe(now), isIdle, now })) {
      if (cloud.order(order, now)) {
        planner.recordAccepted(order);
      } else {
        planner.recordRefused(order, now);
      }
    }
    if (now >= 0) {
      minRunning = Math.min(minRunning, cloud.runningCount);
      shortageTime += cloud.runningCount < engines ? INTERVAL : 0;
    }
  }
  return { minRunning, shortageTime, bill: cloud.bill };
}

describe("the fleet under reclaims", () => {
  const period = { unavailableFor: 13_000, until: 52_000 };

  test("bears reclaims of all zones while spot upstreams are unavailable", () => {
    const simulated = simulateReclaims([
      { zone: "a", at: 4200 },
      { zone: "b", at: 4200 },
      { zone: "c", at: 13_600 },
      { zone: "d", at: 19_600 },
    ], period);
    // Two engines are required; the shortage is at most the boot time less the
    // notice.
    expect(simulated.minRunning).toBeGreaterThanOrEqual(1);
    expect(simulated.shortageTime).toBeLessThanOrEqual(2000);
    // 12 on-demand upstreams for the whole time would cost 624.
    expect(simulated.bill).toBeLessThan(180);
  });

  test("costs little without reclaims", () => {
    const simulated = simulateReclaims([], period);
    expect(simulated.shortageTime).toBe(0);
    expect(simulated.bill).toBeLessThan(135);
  });

  test("doesn't count booting upstreams of a reclaimed zone", () => {
    // The initial fleet is too small; booting upstreams are lost with two
    // zones.
    const simulated = simulateReclaims([
      { zone: "a", at: 4200 },
      { zone: "b", at: 4200 },
      { zone: "c", at: 4400 },
    ], { ...period, engines: 12 });
    // On-demand upstreams boot in 4 s, the reclaim notice is 2.5 s.
    expect(simulated.shortageTime).toBeLessThanOrEqual(2000);
  });

  test("bears a reclaim every six seconds", () => {
    const simulated = simulateReclaims([
      { zone: "b", at: 10_000 },
      { zone: "d", at: 16_000 },
      { zone: "a", at: 22_000 },
      { zone: "c", at: 28_000 },
    ], period);
    expect(simulated.minRunning).toBeGreaterThanOrEqual(1);
    expect(simulated.shortageTime).toBeLessThanOrEqual(2000);
  });
});
