import { request } from "undici";
import type { Deployment } from "./deployment.ts";
import { ProcessGroup } from "./process_group.ts";
import type { ProcessScripts } from "./process_scripts.ts";
import { setUpRouting } from "./set_up_routing.ts";
import { waitFor } from "./wait_for.ts";

const START_TIMEOUT_MS = 30_000;

/**
 * Starts all processes and waits until requests can be served. If that fails,
 * the processes are killed.
 *
 * @public
 */
export async function startDeployment(
  deployment: Deployment,
  scripts: ProcessScripts,
): Promise<ProcessGroup> {
  const group = new ProcessGroup(deployment.folder);
  for (const { name, settingsFile } of deployment.controls) {
    group.start(name, {
      script: scripts.daemon,
      args: ["--settings", settingsFile],
    });
  }
  for (const { name, settingsFile } of deployment.entries) {
    group.start(name, {
      script: scripts.daemon,
      args: ["--settings", settingsFile],
    });
  }
  for (const { name, settingsFile } of deployment.upstreams) {
    group.start(name, { script: scripts.standIn, args: [settingsFile] });
  }
  try {
    await setUpRouting(deployment);
    await waitUntilServing(deployment);
  } catch (error) {
    group.kill();
    throw error;
  }
  return group;
}

/** Waits until each entry is healthy and knows its peers and configuration. */
async function waitUntilServing(deployment: Deployment): Promise<void> {
  const address = deployment.controls[0]!.operatorAddress;
  const authorization = `Bearer ${deployment.operatorToken}`;
  for (const entry of deployment.entries) {
    await waitFor(`The start of ${entry.name}`, {
      timeout: START_TIMEOUT_MS,
      check: async () => {
        const base = `http://${entry.callerAddress}`;
        const health = await request(`${base}/v1/health`);
        await health.body.dump();
        const listed = await request(`${base}/v1/entries`);
        const { entries } = await listed.body.json() as { entries: unknown[] };
        const expectedCount = Math.min(deployment.entries.length, 12);
        return health.statusCode === 200 && entries.length === expectedCount ||
          undefined;
      },
    });
  }
  await waitFor("All upstreams, and the configuration at all entries", {
    timeout: START_TIMEOUT_MS,
    check: async () => {
      const reply = await request(`http://${address}/v1/operator/status`, {
        headers: { authorization },
      });
      const { upstreams, entries } = await reply.body.json() as {
        upstreams: unknown[];
        entries: { revision: number }[];
      };
      const ready = upstreams.length === deployment.upstreams.length &&
        entries.every(({ revision }) => revision > 0);
      return ready || undefined;
    },
  });
}
