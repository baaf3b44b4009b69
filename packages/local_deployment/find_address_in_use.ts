import { createServer } from "node:net";
import { splitAddress } from "@heroncleat/base";
import type { Deployment } from "./deployment.ts";

/**
 * Returns the first address of a deployment that is already in use; undefined
 * if all are free.
 *
 * @public
 */
export async function findAddressInUse(
  deployment: Deployment,
): Promise<string | undefined> {
  const { controls, entries, upstreams } = deployment;
  const addresses = [
    ...controls.flatMap(({ operatorAddress, peerAddress }) => [
      operatorAddress,
      peerAddress,
    ]),
    ...entries.flatMap(({ callerAddress, peerAddress }) => [
      callerAddress,
      peerAddress,
    ]),
    ...upstreams.map(({ address }) => address),
  ];
  for (const address of addresses) {
    if (!await isFree(address)) {
      return address;
    }
  }
  return undefined;
}

function isFree(address: string): Promise<boolean> {
  const { host, port } = splitAddress(address);
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen({ host, port }, () => server.close(() => resolve(true)));
  });
}
