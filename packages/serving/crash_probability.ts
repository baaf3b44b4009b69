/**
 * Probability, by the Poisson distribution, that at least this many crashes
 * occur.
 *
 * @param expected Mean number of crashes.
 */
export function crashProbability(crashes: number, expected: number): number {
  // Sums the upper tail; subtracting the lower tail from 1 would lose all
  // significant digits.
  let term = Math.exp(-expected);
  for (let count = 1; count <= crashes; count += 1) {
    term *= expected / count;
  }
  let probability = term;
  for (
    let count = crashes + 1;
    term > probability * Number.EPSILON;
    count += 1
  ) {
    term *= expected / count;
    probability += term;
  }
  return probability;
}
