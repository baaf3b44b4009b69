import type { ReplicaMember } from "@heroncleat/schema";
import { faultTolerance } from "./fault_tolerance.ts";
import type { FaultToleranceTarget } from "./fault_tolerance_target.ts";

/**
 * Compares the voters of a group with its fault tolerance target.
 *
 * @returns One message with its remedy for each target that isn't met.
 *
 * @public
 * @example
 * const target = { machines: 2, zones: 0, regions: 0 };
 * describeUnmetFaultTolerance(members, target, regionOf);
 */
export function describeUnmetFaultTolerance(
  members: readonly ReplicaMember[],
  target: FaultToleranceTarget,
  regionOf: (zone: string) => string,
): string[] {
  const voters = members.filter(({ voter }) => voter);
  const tolerated = faultTolerance.toleratedFailures(voters.length);
  const problems: string[] = [];
  if (tolerated < target.machines) {
    const requiredVoters = faultTolerance.voters(target.machines);
    problems.push(
      `${voters.length} voters tolerate the loss of ${tolerated} VMs, but the ` +
        `target is ${target.machines}. Remedy: run the control role on ` +
        `${requiredVoters} VMs with a disk.`,
    );
  }
  const votersByZone = countVotersBy(voters, ({ zone }) => zone);
  if (sumOfLargest(votersByZone, target.zones) > tolerated) {
    problems.push(describeUnmetTarget("zones", target.zones, votersByZone));
  }
  const votersByRegion = countVotersBy(voters, ({ zone }) => regionOf(zone));
  if (sumOfLargest(votersByRegion, target.regions) > tolerated) {
    problems.push(
      describeUnmetTarget("regions", target.regions, votersByRegion),
    );
  }
  return problems;
}

function describeUnmetTarget(
  kind: "zones" | "regions",
  required: number,
  voters: ReadonlyMap<string, number>,
): string {
  const counts = [...voters].map(([name, count]) => `${name} ${count}`);
  return `The loss of ${required} ${kind} must be tolerated but removes the ` +
    `quorum (voters: ${counts.join(", ")}). Remedy: run the control role on ` +
    `VMs with a disk in more ${kind}.`;
}

function countVotersBy(
  voters: readonly ReplicaMember[],
  locationOf: (member: ReplicaMember) => string,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const voter of voters) {
    const location = locationOf(voter);
    counts.set(location, (counts.get(location) ?? 0) + 1);
  }
  return counts;
}

function sumOfLargest(
  counts: ReadonlyMap<string, number>,
  locations: number,
): number {
  const sorted = [...counts.values()].sort((left, right) => right - left);
  return sorted.slice(0, locations).reduce((sum, count) => sum + count, 0);
}
