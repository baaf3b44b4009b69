type HostAndPort = { readonly host: string; readonly port: number };

/**
 * Splits `host:port` at its last colon.
 *
 * @public
 */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(":");
  return {
    host: address.slice(0, colon),
    port: Number(address.slice(colon + 1)),
  };
}
