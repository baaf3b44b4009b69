import type { Milliseconds } from "@heroncleat/base";

/**
 * Time in which a process that ends closes its connections, one by one. It may
 * still accept new ones in between.
 */
export const EXIT_TIME: Milliseconds = 30;
