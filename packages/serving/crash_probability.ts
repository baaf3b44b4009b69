/**
 * How likely it is that a harmless request meets so many ends of upstreams or
 * more, by the Poisson distribution.
 *
 * @param expected Ends that it meets in the mean.
 */
export function crashProbability(crashes: number, expected: number): number {
  // From the tail's first term on, as one less the rest would lose all digits.
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
