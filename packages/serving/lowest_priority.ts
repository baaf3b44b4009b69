/** Lowest priority that an engine's scheduler knows; 0 is the highest. @public */
export const LOWEST_PRIORITY = 9;
