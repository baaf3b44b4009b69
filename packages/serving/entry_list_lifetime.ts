import type { Milliseconds } from "@heroncleat/base";

/**
 * Time for which callers are asked to cache a list of entries, unless a
 * deployment sets a shorter one. Shorter lifetimes mean more look-ups and
 * connections.
 *
 * @public
 */
export const ENTRY_LIST_LIFETIME: Milliseconds = 5000;
