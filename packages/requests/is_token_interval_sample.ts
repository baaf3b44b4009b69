const FIRST_SAMPLE_CHUNKS = 8;
const SAMPLE_INTERVAL_CHUNKS = 32;

/**
 * Whether the time between tokens of a stream is reported after this number of
 * chunks. The first sample is early, so that a slow upstream is noticed before
 * a long response ends.
 *
 * @public
 */
export function isTokenIntervalSample(chunks: number): boolean {
  return chunks === FIRST_SAMPLE_CHUNKS ||
    chunks % SAMPLE_INTERVAL_CHUNKS === 0;
}
