import { connect as connectDirectly } from "node:net";
import { type Milliseconds, splitAddress } from "@heroncleat/base";
import { CONNECTION_REFUSED } from "./connection_refused.ts";
import type { ConnectionOpener } from "./connection_opener.ts";
import { lacksDescriptors } from "./lacks_descriptors.ts";
import { openConnection } from "./open_connection.ts";

/** Many times the connection setup time within a region. */
const CONNECT_TIMEOUT: Milliseconds = 100;

type ConnectionTrial = "refused" | "closed" | "kept" | "silent" | "untried";

/**
 * Opens a connection to an address (host:port) and finds whether it is refused,
 * closed within the time `hold`, kept open for that time, not answered, or not
 * tried, as this process has no descriptor left.
 */
export function tryConnection(
  address: string,
  { hold, connect = connectDirectly }: {
    hold: Milliseconds;
    connect?: ConnectionOpener;
  },
): Promise<ConnectionTrial> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const options = { host, port, timeout: CONNECT_TIMEOUT };
    const socket = openConnection(options, connect);
    let timer: NodeJS.Timeout | undefined;
    const settle = (trial: ConnectionTrial) => {
      clearTimeout(timer);
      socket.destroy();
      resolve(trial);
    };
    socket.once("connect", () => {
      socket.setTimeout(0);
      // The end of the connection is noticed only while it is read.
      socket.resume();
      // After a late timer, an end that has arrived meanwhile is read first.
      timer = setTimeout(() => setImmediate(settle, "kept"), hold);
    });
    socket.once("timeout", () => settle("silent"));
    socket.once("end", () => settle("closed"));
    socket.on("error", (error: NodeJS.ErrnoException) => {
      if (lacksDescriptors(error.code)) {
        settle("untried");
        return;
      }
      const isRefused = error.code === CONNECTION_REFUSED;
      settle(isRefused ? "refused" : timer === undefined ? "silent" : "closed");
    });
  });
}
