/** Requests per second above which a stated limit is taken for an error. */
const MAX_RATE = 1_000_000;
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;

/** What the header of a response states about the upstream's rate limit. */
export type StatedRateLimit =
  | { readonly kind: "unlimited" }
  /** @property rate Requests per second. */
  | { readonly kind: "limited"; readonly rate: number }
  /** Nothing can be concluded from it. */
  | { readonly kind: "unreadable"; readonly value: string };

/**
 * Reads the header in which an upstream states its rate limit: a decimal number
 * of requests per second. Of several values the lowest counts.
 *
 * @param value May hold several values, separated by commas.
 * @public
 */
export function parseRateLimit(value: string | undefined): StatedRateLimit {
  if (value === undefined) {
    return { kind: "unlimited" };
  }
  let lowest = Infinity;
  for (const part of value.split(",")) {
    const text = part.trim();
    const rate = Number(text);
    if (DECIMAL.test(text) && rate <= MAX_RATE) {
      lowest = Math.min(lowest, rate);
    }
  }
  return lowest === Infinity
    ? { kind: "unreadable", value }
    : { kind: "limited", rate: lowest };
}
