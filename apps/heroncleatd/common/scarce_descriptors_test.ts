import { Socket } from "node:net";
import { probeUpstream } from "./probe_upstream.ts";
import { refusesConnections } from "./refuses_connections.ts";
import { tryConnection } from "./try_connection.ts";

const ADDRESS = "127.0.0.1:9";

/** Fails like Node where the process has no descriptor left. */
function connect(): Socket {
  const socket = new Socket();
  const error = Object.assign(new Error("connect"), { code: "EMFILE" });
  process.nextTick(() => socket.destroy(error));
  return socket;
}

// Guards against probes that find sound upstreams gone, so that what runs there
// is given up, where this process can't open a connection to anyone.
test("a probe without a descriptor finds no upstream gone, nor any there", async () => {
  expect(await probeUpstream(ADDRESS, connect)).toBe(undefined);
  expect(await tryConnection(ADDRESS, { hold: 10, connect })).toBe("untried");
  expect(await refusesConnections(ADDRESS, { hold: 10, connect })).toBe(false);
});
