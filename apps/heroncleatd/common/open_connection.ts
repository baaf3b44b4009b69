import { Socket, type TcpNetConnectOpts } from "node:net";
import type { ConnectionOpener } from "./connection_opener.ts";

/**
 * Opens a TCP connection. Where `connect` throws, as for a port that is out of
 * range, the returned socket emits an error instead, like one that is refused.
 */
export function openConnection(
  options: TcpNetConnectOpts,
  connect: ConnectionOpener,
): Socket {
  try {
    return connect(options);
  } catch (error) {
    const socket = new Socket();
    setImmediate(() => socket.destroy(error as Error));
    return socket;
  }
}
