import type { Milliseconds } from "@heroncleat/base";

/**
 * The ID of one instance of an upstream, that is one run of its process. An
 * upstream that restarts under the same name loses its state, so everything
 * recorded about upstreams (state, connections, prompt parts, loads, pauses) is
 * keyed by instance. Without a start time, each instance must have a name of
 * its own.
 *
 * @public
 * @param born Start time in ms since 1970.
 */
export function instanceId(
  name: string,
  born: Milliseconds | undefined,
): string {
  return born === undefined ? name : `${name}@${born}`;
}
