import type { Milliseconds } from "@heroncleat/base";

/**
 * Time for which an entry that fell silent counts among those that share what is
 * common to all: it may be cut off and still use its part.
 *
 * @public
 */
export const ENTRY_RETENTION: Milliseconds = 30_000;
