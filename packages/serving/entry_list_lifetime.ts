import type { Milliseconds } from "@heroncleat/base";

/**
 * Time for which callers are asked to keep a list of entries. Each look-up that
 * meets a VM without power costs its caller a second, and so does each new
 * connection to one that a kept list still names, so shorter lists cost more
 * while VMs are dark. A deployment may allow less.
 *
 * @public
 */
export const ENTRY_LIST_LIFETIME: Milliseconds = 5000;
