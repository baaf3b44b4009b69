import type { Milliseconds } from "@heroncleat/base";
import type { SoakDeployment } from "./soak_deployment.ts";

/** Describes the entry on a host at a time, for the text of a finding. */
export function describeEntry(
  { machines, disturbances }: Pick<SoakDeployment, "machines" | "disturbances">,
  { host, at }: { host: string; at: Milliseconds },
): string {
  const machine = machines.find((known) => known.host === host);
  if (machine === undefined) {
    return host;
  }
  const uptime = Math.round(at - machine.startedAt);
  const calm = Math.round(disturbances.undisturbedTime(host, at));
  return `${machine.name}, entry up for ${uptime} ms, undisturbed for ${calm} ms`;
}
