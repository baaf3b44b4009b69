import type { Milliseconds } from "@heroncleat/base";
import { gracePeriod } from "./grace_period.ts";
import type { Machine } from "./machine.ts";
import { pause } from "./pause.ts";
import type { SoakDeployment } from "./soak_deployment.ts";

/** Time in which callers see that an entry has exited. */
const EXIT_NOTICE_TIME: Milliseconds = 300;

/**
 * Stops an entry and starts it again. It counts as calm until it has exited, as
 * what it has accepted must be answered. Replicas keep running.
 */
export async function stopEntry(
  deployment: SoakDeployment,
  machine: Machine,
): Promise<void> {
  const roles = machine.hasReplica ? ["entry"] as const : machine.roles;
  const recordExit = deployment.stops.begin(machine.host);
  machine.signal("SIGTERM", roles);
  const timer = setTimeout(() => machine.signal("SIGKILL", roles), gracePeriod);
  // Another scenario may have started it again meanwhile.
  await Promise.race([machine.waitForExit(roles), pause(2 * gracePeriod)]);
  clearTimeout(timer);
  recordExit();
  await pause(EXIT_NOTICE_TIME);
  const end = deployment.beginDisturbance(machine.host);
  deployment.startMachine(machine);
  end();
}
