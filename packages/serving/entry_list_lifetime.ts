import type { Milliseconds } from "@heroncleat/base";

/**
 * Time for which callers are asked to cache a list of entries. Shorter
 * lifetimes mean more look-ups and new connections, each of which may time out
 * on a VM that has lost power. A deployment may set a shorter one.
 *
 * @public
 */
export const ENTRY_LIST_LIFETIME: Milliseconds = 5000;
