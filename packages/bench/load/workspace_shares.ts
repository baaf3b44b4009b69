const WORKSPACES = 16;
/** Exponent of Zipf's law. */
const EXPONENT = 1.2;
const weights = Array.from(
  { length: WORKSPACES },
  (_, index) => (index + 1) ** -EXPONENT,
);
const total = weights.reduce((sum, weight) => sum + weight, 0);

/** Share of the requests that each workspace sends, the largest first. */
export const WORKSPACE_SHARES: readonly number[] = weights.map((weight) =>
  weight / total
);
