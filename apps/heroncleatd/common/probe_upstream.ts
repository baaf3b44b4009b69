import { connect } from "node:net";
import { type Milliseconds, splitAddress } from "@heroncleat/base";

/** Time for the connection; one within a region takes about 1 ms. */
const PROBE_TIMEOUT: Milliseconds = 300;

/**
 * Whether something still takes connections at an upstream's address. Nothing
 * is sent.
 *
 * @param address host:port
 */
export function probeUpstream(address: string): Promise<boolean> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect({ host, port, timeout: PROBE_TIMEOUT });
    const settle = (isThere: boolean) => {
      socket.destroy();
      resolve(isThere);
    };
    socket.once("connect", () => settle(true));
    socket.once("timeout", () => settle(false));
    socket.once("error", () => settle(false));
  });
}
