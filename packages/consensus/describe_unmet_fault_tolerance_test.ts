import type { ReplicaMember } from "@heroncleat/schema";
import { describeUnmetFaultTolerance } from "./mod.ts";

function group(zones: readonly string[], learners = 0): ReplicaMember[] {
  return zones.map((zone, at) => ({
    id: `disk-${at}`,
    name: `vm-${at}`,
    address: `vm-${at}:1`,
    zone,
    voter: at < zones.length - learners,
  }));
}

const regionOf = (zone: string) => zone[0]!;
const none = { machines: 0, zones: 0, regions: 0 };

// A deployment that promised to bear two losses ran with three voters and said
// nothing; the loss of two ended it.
describe("what a group can't keep of the promised losses", () => {
  test("too few voters, learners not counted", () => {
    const promised = { ...none, machines: 2 };
    const zones = ["a1", "a2", "a3", "a1", "a2", "a3"];
    expect(describeUnmetFaultTolerance(group(zones, 1), promised, regionOf))
      .toEqual([]);
    const [problem] = describeUnmetFaultTolerance(
      group(zones, 2),
      promised,
      regionOf,
    );
    expect(problem).toContain("4 voters bear the loss of 1 VMs");
    expect(problem).toContain("on 5 VMs with a disk");
  });

  test("voters that stand in one zone or region", () => {
    const zones = ["a1", "a1", "b1"];
    const kept = describeUnmetFaultTolerance(group(zones), none, regionOf);
    expect(kept).toEqual([]);
    const byZone = { ...none, zones: 1 };
    expect(describeUnmetFaultTolerance(group(zones), byZone, regionOf)[0])
      .toContain("a1 2, b1 1");
    const byRegion = { ...none, regions: 1 };
    expect(
      describeUnmetFaultTolerance(
        group(["a1", "a2", "b1"]),
        byRegion,
        regionOf,
      ),
    )
      .toHaveLength(1);
    expect(
      describeUnmetFaultTolerance(
        group(["a1", "b1", "c1"]),
        byRegion,
        regionOf,
      ),
    )
      .toEqual([]);
  });
});
