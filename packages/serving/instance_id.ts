import type { Milliseconds } from "@heroncleat/base";

/**
 * The identity of one start of an upstream. An upstream that starts again under
 * its name holds and knows nothing of before, so that whatever is remembered of
 * an upstream (state, connections, prompt parts, loads, pauses) is remembered
 * of a start. Where no birth is stated, each start has a name of its own.
 *
 * @public
 * @param born When it started, in ms since 1970.
 */
export function instanceId(
  name: string,
  born: Milliseconds | undefined,
): string {
  return born === undefined ? name : `${name}@${born}`;
}
