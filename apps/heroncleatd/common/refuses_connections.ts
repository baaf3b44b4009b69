import type { Milliseconds } from "@heroncleat/base";
import type { ConnectionOpener } from "./connection_opener.ts";
import { tryConnection } from "./try_connection.ts";

/** A process at its connection limit also closes new connections at once. */
const MAX_TRIES = 3;

/**
 * Whether connections to an address are refused, as after a crash of its
 * process. An address that doesn't respond in time refuses nothing.
 *
 * @param address host:port
 * @param options.hold Time for which an accepted connection must stay open; see
 *     `requiredHold`.
 */
export async function refusesConnections(
  address: string,
  options: { hold: Milliseconds; connect?: ConnectionOpener },
): Promise<boolean> {
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const trial = await tryConnection(address, options);
    if (trial !== "closed") {
      return trial === "refused";
    }
  }
  return false;
}
