const FIRST_SAMPLE = 8;
const SAMPLE_INTERVAL = 32;

/**
 * Whether the pace of a stream is worth reporting at this piece: early, since
 * a long answer would tell of a slow upstream only at its end, and then now
 * and then.
 *
 * @public
 */
export function isTokenIntervalSample(pieces: number): boolean {
  return pieces === FIRST_SAMPLE || pieces % SAMPLE_INTERVAL === 0;
}
