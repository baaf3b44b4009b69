/**
 * How likely it is that a harmless request meets so many ends of upstreams or
 * more, by the Poisson distribution.
 *
 * @param expected Ends that it meets in the mean.
 */
export function chanceOfEnds(ends: number, expected: number): number {
  // From the tail's first term on, as one less the rest would lose all digits.
  let term = Math.exp(-expected);
  for (let count = 1; count <= ends; count += 1) {
    term *= expected / count;
  }
  let chance = term;
  for (let count = ends + 1; term > chance * Number.EPSILON; count += 1) {
    term *= expected / count;
    chance += term;
  }
  return chance;
}
