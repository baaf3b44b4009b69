import type { ReplicaMember } from "@heroncleat/schema";
import { faultTolerance } from "./fault_tolerance.ts";
import type { FaultToleranceTarget } from "./fault_tolerance_target.ts";

/**
 * Compares what the settings promise with the voters that there are.
 *
 * @returns A sentence with its remedy for each promise that can't be kept.
 *
 * @public
 * @example
 * findUnkeptPromises(members, { machines: 2, zones: 0, regions: 0 }, regionOf);
 */
export function describeUnmetFaultTolerance(
  members: readonly ReplicaMember[],
  promised: FaultToleranceTarget,
  regionOf: (zone: string) => string,
): string[] {
  const voters = members.filter(({ voter }) => voter);
  const borne = faultTolerance.toleratedFailures(voters.length);
  const problems: string[] = [];
  if (borne < promised.machines) {
    const wanted = faultTolerance.voters(promised.machines);
    problems.push(
      `${voters.length} voters bear the loss of ${borne} VMs, and ` +
        `${promised.machines} are promised. Remedy: run the control role on ` +
        `${wanted} VMs with a disk.`,
    );
  }
  const zones = countVotersBy(voters, ({ zone }) => zone);
  if (sumOfLargest(zones, promised.zones) > borne) {
    problems.push(describeUnmetTarget("zones", promised.zones, zones));
  }
  const regions = countVotersBy(voters, ({ zone }) => regionOf(zone));
  if (sumOfLargest(regions, promised.regions) > borne) {
    problems.push(describeUnmetTarget("regions", promised.regions, regions));
  }
  return problems;
}

function describeUnmetTarget(
  kind: "zones" | "regions",
  promised: number,
  voters: ReadonlyMap<string, number>,
): string {
  const counts = [...voters].map(([name, count]) => `${name} ${count}`);
  return `The loss of ${promised} ${kind} is promised and takes the quorum ` +
    `(voters: ${counts.join(", ")}). Remedy: run the control role on VMs ` +
    `with a disk in more ${kind}.`;
}

function countVotersBy(
  voters: readonly ReplicaMember[],
  placeOf: (member: ReplicaMember) => string,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const voter of voters) {
    const place = placeOf(voter);
    counts.set(place, (counts.get(place) ?? 0) + 1);
  }
  return counts;
}

function sumOfLargest(
  counts: ReadonlyMap<string, number>,
  places: number,
): number {
  const sorted = [...counts.values()].sort((left, right) => right - left);
  return sorted.slice(0, places).reduce((sum, count) => sum + count, 0);
}
