import type { Milliseconds } from "@heroncleat/base";

/**
 * Time for which callers are asked to keep a list of entries. Each look-up that
 * meets a VM without power costs its caller a second, and so does each new
 * connection to one that a kept list still names. With three of eleven VMs dark
 * for 14 s, lists of 2 s left 0.77 of the worth of these seconds, lists of 5 s
 * 0.84 (one day, two runs); where VMs stop in turn all day, lists of 5 s served
 * as much as those of 2 s. A deployment may allow less.
 *
 * @public
 */
export const LIST_KEPT: Milliseconds = 5000;
