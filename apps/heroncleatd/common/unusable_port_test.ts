import { connect } from "node:net";
import { UpstreamAgent } from "../gateway/upstreams/upstream_agent.ts";
import { openResponse } from "./open_response.ts";
import { probeUpstream } from "./probe_upstream.ts";
import { tryConnection } from "./try_connection.ts";

/** As a replica of an earlier release may state it. */
const ADDRESS = "127.0.0.1:70000";

// Guards against probes that reject, which nobody handles.
test("a port out of range is not reachable", async () => {
  expect(await probeUpstream(ADDRESS)).toBe(false);
  expect(await tryConnection(ADDRESS, { hold: 10 })).toBe("silent");
});

// Guards against requests that fail inside the entry, without an answer.
test("a request to a port out of range fails as one that wasn't sent", async () => {
  const agent = new UpstreamAgent(() => 1, connect);
  const opened = await openResponse({
    address: ADDRESS,
    agent,
    method: "GET",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    connectTimeout: 300,
    signal: AbortSignal.timeout(1000),
  });
  expect(opened).toMatchObject({
    kind: "failed",
    error: { code: "ERR_SOCKET_BAD_PORT" },
    isConnected: false,
    isReused: false,
  });
  expect(agent.isUnused).toBe(true);
});
