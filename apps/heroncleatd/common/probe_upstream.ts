import { connect as connectDirectly } from "node:net";
import { type Milliseconds, splitAddress } from "@heroncleat/base";
import type { ConnectionOpener } from "./connection_opener.ts";
import { lacksDescriptors } from "./lacks_descriptors.ts";
import { openConnection } from "./open_connection.ts";

/** Generous for a connection within one region. */
const PROBE_TIMEOUT: Milliseconds = 300;

/**
 * Whether a TCP connection to an upstream's address can be opened; undefined if
 * this process has no descriptor left to try. Sends no data.
 *
 * @param address host:port
 */
export function probeUpstream(
  address: string,
  connect: ConnectionOpener = connectDirectly,
): Promise<boolean | undefined> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const options = { host, port, timeout: PROBE_TIMEOUT };
    const socket = openConnection(options, connect);
    const settle = (isReachable: boolean | undefined) => {
      socket.destroy();
      resolve(isReachable);
    };
    socket.once("connect", () => settle(true));
    socket.once("timeout", () => settle(false));
    socket.once(
      "error",
      ({ code }: NodeJS.ErrnoException) =>
        settle(lacksDescriptors(code) ? undefined : false),
    );
  });
}
