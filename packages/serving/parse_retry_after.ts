import type { Milliseconds } from "@heroncleat/base";

const SECOND: Milliseconds = 1000;
/** Longer times are shortened, so that no upstream stays out for good. */
const MAX_REST: Milliseconds = 3_600_000;
const DECIMAL = /^(\d+\.?\d*|\.\d+)$/;
/** The forms of a date in HTTP (RFC 9110, section 5.6.7) begin so. */
const DATE = /^(Mon|Tue|Wed|Thu|Fri|Sat|Sun)[a-z]*,? /;

/** What the `Retry-After` header of a response states. */
export type StatedRetryAfter =
  | { readonly kind: "absent" }
  | {
    readonly kind: "rest";
    readonly duration: Milliseconds;
    /** Whether a longer time was stated. */
    readonly isShortened: boolean;
  }
  /** Nothing can be concluded from it. */
  | { readonly kind: "unreadable"; readonly value: string };

/**
 * Reads `Retry-After`: seconds, also in fractions, or a date. The longest of
 * several values counts; a time that has passed is none.
 *
 * @param options.now Unix time that a date is compared with.
 * @public
 */
export function parseRetryAfter(
  values: readonly string[],
  { now }: { readonly now: Milliseconds },
): StatedRetryAfter {
  if (values.length === 0) {
    return { kind: "absent" };
  }
  let longest = -Infinity;
  for (const value of values) {
    for (const duration of readDurations(value.trim(), now)) {
      longest = Math.max(longest, duration);
    }
  }
  return longest === -Infinity
    ? { kind: "unreadable", value: values.join(", ") }
    : {
      kind: "rest",
      duration: Math.min(MAX_REST, Math.max(0, longest)),
      isShortened: longest > MAX_REST,
    };
}

function readDurations(value: string, now: Milliseconds): Milliseconds[] {
  if (DATE.test(value)) {
    const at = Date.parse(value);
    return Number.isNaN(at) ? [] : [at - now];
  }
  return value.split(",").map((part) => part.trim())
    .filter((part) => DECIMAL.test(part))
    .map((part) => Number(part) * SECOND);
}
