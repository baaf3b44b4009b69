import type { Milliseconds } from "@heroncleat/base";

/**
 * The ID of one run of an upstream's process. What is recorded about upstreams is
 * keyed by it, as an upstream that restarts under the same name loses its state.
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
