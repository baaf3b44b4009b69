import { createRequire } from "node:module";
import { dirname, join } from "node:path";
import { request } from "undici";
import type { Deployment } from "./deployment.ts";
import { ProcessGroup } from "./process_group.ts";
import { setUpRouting } from "./set_up_routing.ts";
import { waitFor } from "./wait_for.ts";

const START_TIMEOUT = 20_000;
const require = createRequire(import.meta.url);

/** Starts all processes and waits until requests can be served. */
export async function startDeployment(
  deployment: Deployment,
): Promise<ProcessGroup> {
  const group = new ProcessGroup(deployment.folder);
  const daemon = mainOf("@heroncleat/heroncleatd");
  for (const { name, settingsFile } of deployment.controls) {
    group.start(name, { script: daemon, words: ["--settings", settingsFile] });
  }
  for (const { name, settingsFile } of deployment.entries) {
    group.start(name, { script: daemon, words: ["--settings", settingsFile] });
  }
  const standIn = mainOf("@heroncleat/stand_ins");
  for (const { name, settingsFile } of deployment.upstreams) {
    group.start(name, { script: standIn, words: [settingsFile] });
  }
  await setUpRouting(deployment);
  await waitUntilServing(deployment);
  return group;
}

function mainOf(name: string): string {
  const folder = dirname(require.resolve(`${name}/package.json`));
  return join(folder, "dist", "main.js");
}

/** Each entry has its lease, knows the others and lists the models. */
async function waitUntilServing(deployment: Deployment): Promise<void> {
  const headers = { authorization: `Bearer ${deployment.callerKey}` };
  for (const entry of deployment.entries) {
    await waitFor(`The start of ${entry.name}`, {
      timeout: START_TIMEOUT,
      check: async () => {
        const base = `http://${entry.callerAddress}`;
        const health = await request(`${base}/v1/health`);
        await health.body.dump();
        const listed = await request(`${base}/v1/entries`);
        const { entries } = await listed.body.json() as { entries: unknown[] };
        const reply = await request(`${base}/v1/models`, { headers });
        const { data } = await reply.body.json() as { data: unknown[] };
        const ready = health.statusCode === 200 && data.length > 0 &&
          entries.length === deployment.entries.length;
        return ready || undefined;
      },
    });
  }
}
