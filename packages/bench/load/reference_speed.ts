/** Prompt tokens that the reference engine of `prefillTime` prefills per ms. */
export const REFERENCE_SPEED = 50;
