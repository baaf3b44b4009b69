import type { ReplicaMember } from "@heroncleat/schema";
import { describeUnmetFaultTolerance } from "./mod.ts";

function createGroup(zones: readonly string[], learners = 0): ReplicaMember[] {
  return zones.map((zone, index) => ({
    id: `disk-${index}`,
    name: `vm-${index}`,
    address: `vm-${index}:1`,
    zone,
    voter: index < zones.length - learners,
  }));
}

const regionOf = (zone: string) => zone[0]!;
const noFailures = { machines: 0, zones: 0, regions: 0 };

// Guards against a group that runs without a warning although its voters don't
// meet the fault tolerance target.
describe("unmet fault tolerance", () => {
  test("reports too few voters without counting learners", () => {
    const target = { ...noFailures, machines: 2 };
    const zones = ["a1", "a2", "a3", "a1", "a2", "a3"];
    expect(describeUnmetFaultTolerance(createGroup(zones, 1), target, regionOf))
      .toEqual([]);
    const [problem] = describeUnmetFaultTolerance(
      createGroup(zones, 2),
      target,
      regionOf,
    );
    expect(problem).toContain("4 voters tolerate the loss of 1 VMs");
    expect(problem).toContain("on 5 VMs with a disk");
  });

  test("reports voters concentrated in one zone or region", () => {
    const zones = ["a1", "a1", "b1"];
    const unmet = describeUnmetFaultTolerance(
      createGroup(zones),
      noFailures,
      regionOf,
    );
    expect(unmet).toEqual([]);
    const zoneTarget = { ...noFailures, zones: 1 };
    expect(
      describeUnmetFaultTolerance(createGroup(zones), zoneTarget, regionOf)[0],
    )
      .toContain("a1 2, b1 1");
    const regionTarget = { ...noFailures, regions: 1 };
    expect(
      describeUnmetFaultTolerance(
        createGroup(["a1", "a2", "b1"]),
        regionTarget,
        regionOf,
      ),
    )
      .toHaveLength(1);
    expect(
      describeUnmetFaultTolerance(
        createGroup(["a1", "b1", "c1"]),
        regionTarget,
        regionOf,
      ),
    )
      .toEqual([]);
  });
});
