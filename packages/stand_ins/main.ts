/**
 * Runs one stand-in upstream as a process, from a JSON settings file.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import { type Milliseconds, ShutdownSignal } from "@heroncleat/base";
import type { StandInSettings } from "./stand_in_settings.ts";
import { UpstreamStandIn } from "./upstream_stand_in.ts";

/** Time for running requests to finish after the signal. */
const STOP_TIMEOUT_MS = 5000;
const IDLE_CHECK_INTERVAL_MS = 50;

const shutdown = new ShutdownSignal(process, {
  // A terminal interrupts the entries, which use the upstreams, as well.
  signals: ["SIGTERM", "SIGINT"],
  now: () => performance.now(),
});
const file = process.argv[2];
if (file === undefined) {
  console.error("No settings file. Remedy: pass its path as the argument.");
  process.exit(2);
}
const settings = JSON.parse(readFileSync(file, "utf8")) as StandInSettings;
const standIn = new UpstreamStandIn(settings);
await standIn.start();
await stop(await shutdown.received);

async function stop(signalledAt: Milliseconds): Promise<void> {
  const deadline = signalledAt + STOP_TIMEOUT_MS;
  await standIn.announceReclaim(STOP_TIMEOUT_MS);
  while (!standIn.isIdle && performance.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, IDLE_CHECK_INTERVAL_MS));
  }
  standIn.stop();
  process.exit(0);
}
