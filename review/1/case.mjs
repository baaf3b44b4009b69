/**
 * A configuration has grown and changed many times. Then three machines of the
 * core lose their disks, one after the other. See claim.txt.
 */
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { createLargeConfig } from "../common/large_config.mjs";
import {
  BROKEN,
  COULD_NOT_RUN,
  Deployment,
  HELD,
  Operator,
  pause,
  runCase,
} from "../common/harness.mjs";

const FOLDER = dirname(fileURLToPath(import.meta.url));
const RECORD = join(FOLDER, "record.txt");
/** With TROUBLE=0 the case does the same without its disruption. */
const isDisturbed = process.env.TROUBLE !== "0";

/** `big_config`: count = 350, three times. */
const GROWTHS = 3;
const GROWTH = 350;
/** `config_storm`: a change each 0.33 s for 4 s, five times. */
const CHANGES = 5 * 12;
const CHANGE_GAP_MS = 330;
/** `after_ack_wipe`: for_s = 3. */
const WIPE_TIME_MS = 3000;
const WIPES = 3;
/** `catchUpS` (4 s), and half a second more. */
const CATCH_UP_MS = 4500;
/** `recoveryS`. */
const RECOVERY_MS = 12_000;
/** For longer than `contactMs` (3 s) the operator reads at the end. */
const READ_TIME_MS = 9000;

async function play(record, onCreated) {
  const deployment = await Deployment.create(record, {
    zones: ["oslo-a", "oslo-b", "oslo-c", "oslo-d"],
  });
  onCreated(deployment);
  deployment.start();
  const operator = new Operator(deployment);
  let version = 1;
  let acknowledged = 0;
  const change = async (within) => {
    const routes = 3 + Math.min(GROWTHS, version - 1) * GROWTH;
    const sent = version;
    version += 1;
    const config = createLargeConfig(sent, routes);
    const took = await operator.publish(config, { within });
    record.write(
      `version ${sent} with ${routes} routes: ` +
        (took < Infinity
          ? `acknowledged after ${Math.round(took)} ms`
          : "none"),
    );
    if (took < Infinity) {
      acknowledged = Math.max(acknowledged, sent);
    }
    return took;
  };
  if (await change(15_000) === Infinity) {
    return COULD_NOT_RUN;
  }
  await pause(6000);
  for (let made = 0; made < GROWTHS + CHANGES; made += 1) {
    const next = pause(CHANGE_GAP_MS);
    await change(4000);
    await next;
  }
  await pause(2000);
  for (const machine of deployment.machines.slice(0, WIPES)) {
    await change(4000);
    if (isDisturbed) {
      await machine.loseDisk();
    }
    await pause(WIPE_TIME_MS);
    if (isDisturbed) {
      machine.start("control");
    }
    await pause(CATCH_UP_MS);
  }
  const took = await change(RECOVERY_MS);
  const read = await operator.read({ within: READ_TIME_MS });
  record.write(
    `version ${version - 1}: ` +
      (took < Infinity ? "acknowledged" : "no acknowledgement") +
      `; read back: version ${read?.version ?? "none"}; ` +
      `newest acknowledged: ${acknowledged}`,
  );
  for (const machine of deployment.machines) {
    const { status } = await operator.readAt(machine);
    record.write(`a read at ${machine.name} is answered ${status}`);
  }
  return read === undefined || read.version < acknowledged ? BROKEN : HELD;
}

await runCase(play, { record: RECORD, isDisturbed });
