import {
  CAPACITY_DEFAULTS,
  CapacityPlanner,
  type HeldVm,
  type Offer,
  planLoads,
} from "./mod.ts";

const OFFERS: Offer[] = ["a", "b", "c", "d"].flatMap((zone, index) => [
  { zone, vmClass: "reclaimable", price: 1 + index / 10, slots: 8 } as const,
  { zone, vmClass: "on_demand", price: 3, slots: 8 } as const,
]);

/** Carries out plans until none starts a VM. */
function fillFleet(
  planner: CapacityPlanner,
  options: {
    demand: number;
    refused?: (offer: Offer) => boolean;
    now?: number;
  },
): HeldVm[] {
  const { demand, refused = () => false, now = 0 } = options;
  const vms: HeldVm[] = [];
  for (let round = 0; round < 60; round += 1) {
    const plan = planner.plan({ demand, vms, offers: OFFERS }, now);
    for (const effect of plan) {
      if (effect.kind === "start" && refused(effect.offer)) {
        planner.recordStartRefusal(effect.offer, now);
      } else if (effect.kind === "start") {
        const name = `vm-${vms.length}`;
        vms.push({ name, state: "serving", ...effect.offer });
      }
    }
  }
  return vms;
}

function slotsWithout(vms: readonly HeldVm[], zone: string): number {
  return vms.filter((vm) => vm.zone !== zone)
    .reduce((slots, vm) => slots + vm.slots, 0);
}

describe("the fleet", () => {
  test("covers the demand when any zone is lost, at the lowest price", () => {
    const vms = fillFleet(new CapacityPlanner(CAPACITY_DEFAULTS), {
      demand: 48,
    });
    for (const zone of ["a", "b", "c", "d"]) {
      expect(slotsWithout(vms, zone)).toBeGreaterThanOrEqual(48);
    }
    expect(vms.every((vm) => vm.vmClass === "reclaimable")).toBe(true);
    expect(vms.length).toBeLessThanOrEqual(12);
  });

  test("starts on-demand VMs when reclaimable ones are refused", () => {
    const vms = fillFleet(new CapacityPlanner(CAPACITY_DEFAULTS), {
      demand: 48,
      refused: (offer) => offer.vmClass === "reclaimable",
    });
    expect(vms.every((vm) => vm.vmClass === "on_demand")).toBe(true);
    for (const zone of ["a", "b", "c", "d"]) {
      expect(slotsWithout(vms, zone)).toBeGreaterThanOrEqual(48);
    }
  });

  test("retries a refused start with increasing delays", () => {
    const planner = new CapacityPlanner(CAPACITY_DEFAULTS);
    const offer = OFFERS[0]!;
    let startCount = 0;
    for (let now = 0; now < 60_000; now += 1000) {
      const plan = planner.plan({ demand: 8, vms: [], offers: [offer] }, now);
      for (const effect of plan) {
        startCount += effect.kind === "start" ? 1 : 0;
        planner.recordStartRefusal(offer, now);
      }
    }
    expect(startCount).toBeGreaterThanOrEqual(3);
    expect(startCount).toBeLessThan(12);
  });

  test("stops the most expensive VM, and only after a lasting surplus", () => {
    const planner = new CapacityPlanner(CAPACITY_DEFAULTS);
    const vms = fillFleet(planner, { demand: 48 });
    const expensive = {
      ...vms[0]!,
      name: "expensive",
      price: 3,
      vmClass: "on_demand",
    };
    const fleet = {
      demand: 20,
      vms: [...vms, expensive as HeldVm],
      offers: OFFERS,
    };
    expect(planner.plan(fleet, 1000)).toEqual([]);
    expect(planner.plan(fleet, 30_000)).toEqual([]);
    expect(planner.plan(fleet, 62_000)).toEqual([
      { kind: "stop", vm: "expensive" },
    ]);
  });
});

describe("model loads", () => {
  const host = (upstream: string, zone: string, models: string[] = []) => ({
    upstream,
    zone,
    models,
    freeBytes: 100,
  });

  test("are ordered by request rate within the limit, across zones", () => {
    const demands = [
      { model: "popular", rate: 50, bytes: 40 },
      { model: "rare", rate: 1, bytes: 40 },
    ];
    const hosts = [host("u1", "a"), host("u2", "a"), host("u3", "b")];
    const loads = planLoads(demands, hosts, { storeBytes: 90, copies: 2 });
    expect(loads.map(({ model }) => model)).toEqual(["popular", "popular"]);
    const zones = loads.map(({ upstream }) => upstream === "u3" ? "b" : "a");
    expect(new Set(zones).size).toBe(2);
  });

  test("never exceed a host's free bytes or repeat a model there", () => {
    const demands = [
      { model: "big", rate: 5, bytes: 90 },
      { model: "small", rate: 5, bytes: 20 },
    ];
    const loads = planLoads(demands, [host("u1", "a", ["small"])], {
      storeBytes: 1000,
      copies: 3,
    });
    expect(loads).toEqual([{ upstream: "u1", model: "big" }]);
  });
});
