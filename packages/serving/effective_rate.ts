/**
 * Requests per second to an upstream that accepts fewer, or none. Only a
 * response can say that its limit has ended.
 */
const MIN_RATE = 0.2;

/**
 * Requests per second that are sent to an upstream with a rate limit.
 *
 * @param rate The rate that it states.
 * @internal
 */
export function effectiveRate(rate: number): number {
  return Math.max(MIN_RATE, rate);
}
