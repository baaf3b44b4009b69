import type { ReplicaMember } from "@heroncleat/schema";
import { lossTolerance } from "./loss_tolerance.ts";
import type { PromisedLosses } from "./promised_losses.ts";

/**
 * Compares what the settings promise with the voters that there are.
 *
 * @returns A sentence with its remedy for each promise that can't be kept.
 *
 * @public
 * @example
 * findUnkeptPromises(members, { machines: 2, zones: 0, regions: 0 }, regionOf);
 */
export function findUnkeptPromises(
  members: readonly ReplicaMember[],
  promised: PromisedLosses,
  regionOf: (zone: string) => string,
): string[] {
  const voters = members.filter(({ voter }) => voter);
  const borne = lossTolerance.bornBy(voters.length);
  const problems: string[] = [];
  if (borne < promised.machines) {
    const wanted = lossTolerance.voters(promised.machines);
    problems.push(
      `${voters.length} voters bear the loss of ${borne} VMs, and ` +
        `${promised.machines} are promised. Remedy: run the control role on ` +
        `${wanted} VMs with a disk.`,
    );
  }
  const zones = countBy(voters, ({ zone }) => zone);
  if (sumOfLargest(zones, promised.zones) > borne) {
    problems.push(describePlaces("zones", promised.zones, zones));
  }
  const regions = countBy(voters, ({ zone }) => regionOf(zone));
  if (sumOfLargest(regions, promised.regions) > borne) {
    problems.push(describePlaces("regions", promised.regions, regions));
  }
  return problems;
}

function describePlaces(
  kind: "zones" | "regions",
  promised: number,
  voters: ReadonlyMap<string, number>,
): string {
  const counts = [...voters].map(([name, count]) => `${name} ${count}`);
  return `The loss of ${promised} ${kind} is promised and takes the quorum ` +
    `(voters: ${counts.join(", ")}). Remedy: run the control role on VMs ` +
    `with a disk in more ${kind}.`;
}

function countBy(
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
