import { createToken } from "@heroncleat/base";
import type { Edit } from "@heroncleat/schema";
import { request } from "undici";
import type { Deployment } from "./deployment.ts";
import { waitFor } from "./wait_for.ts";

const START_TIMEOUT_MS = 20_000;

/** Initial configuration: two groups, selected for every request. */
const INITIAL_EDITS: readonly Edit[] = [
  {
    kind: "group_set",
    group: {
      name: "old",
      labels: { place: "old" },
      state: "serving",
      share: 50,
    },
  },
  {
    kind: "group_set",
    group: {
      name: "new",
      labels: { place: "new" },
      state: "serving",
      share: 50,
    },
  },
  {
    kind: "selector_set",
    selector: { name: "all", order: 100, match: {}, groups: ["old", "new"] },
  },
];

/** Sets groups and a selector through the operator API. @internal */
export async function setUpRouting(deployment: Deployment): Promise<void> {
  const headers = {
    authorization: `Bearer ${deployment.operatorToken}`,
    "content-type": "application/json",
  };
  const body = JSON.stringify({
    id: createToken(),
    expectedRevision: 0,
    edits: INITIAL_EDITS,
  });
  const address = deployment.controls[0]!.operatorAddress;
  await waitFor("The first configuration change", {
    timeout: START_TIMEOUT_MS,
    check: async () => {
      const url = `http://${address}/v1/operator/changes`;
      const reply = await request(url, { method: "POST", headers, body });
      await reply.body.dump();
      return reply.statusCode === 200 || undefined;
    },
  });
}
