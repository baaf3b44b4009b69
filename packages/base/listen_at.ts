import { once } from "node:events";
import type { Server } from "node:net";
import { splitAddress } from "./split_address.ts";
import { waitForAddress } from "./wait_for_address.ts";

type ListenOptions = {
  /** See `waitForAddress`. */
  readonly onWait: (message: string) => void;
  /** Connections that may wait to be accepted. */
  readonly backlog?: number;
};

/**
 * Has a server listen on host:port. An address in use is waited for.
 *
 * @public
 */
export async function listenAt(
  server: Server,
  address: string,
  { onWait, backlog }: ListenOptions,
): Promise<void> {
  const { host, port } = splitAddress(address);
  await waitForAddress(address, {
    onWait,
    listen: async () => {
      const listening = once(server, "listening");
      server.listen({ host, port, ...(backlog && { backlog }) });
      await listening;
    },
  });
}
