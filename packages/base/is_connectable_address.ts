import { isIPv4 } from "node:net";
import { splitAddress } from "./split_address.ts";

const PORT_PATTERN = /^[0-9]{1,5}$/;
const MAX_PORT = 65_535;
/** First octet of multicast and reserved addresses; lower ones are unicast. */
const FIRST_MULTICAST_OCTET = 224;

/**
 * Whether TCP connections can be opened to an address: `host:port` with a
 * unicast IPv4 address and a port from 1 to 65535. Opening one to another port
 * throws.
 *
 * @public
 */
export function isConnectableAddress(address: string): boolean {
  const { host, port } = splitAddress(address);
  const portText = address.slice(host.length + 1);
  if (!PORT_PATTERN.test(portText) || port < 1 || port > MAX_PORT) {
    return false;
  }
  const firstOctet = Number(host.split(".")[0]);
  return isIPv4(host) && firstOctet > 0 && firstOctet < FIRST_MULTICAST_OCTET;
}
