import type { Milliseconds } from "@heroncleat/base";

/**
 * Part of an objective that a prompt's own reading takes up at most here. The
 * largest prompts need longer than their objective even at an idle upstream;
 * they wait for their turn like smaller ones rather than being refused always.
 */
const MOST_READING_SHARE = 0.5;
/**
 * Time between the end of the reading and the first event at the caller: an
 * engine's first steps, about 50 ms, two ways, and what the estimate of the
 * queue is off by.
 */
const OVERHEAD: Milliseconds = 100;
/** A queue that is shorter is no reason to refuse anybody. */
const LEAST_QUEUE: Milliseconds = 100;
/** Sooner than this nothing has changed at the upstreams. */
const LEAST_RETRY_AFTER: Milliseconds = 200;

/** What is known of a request at the upstream that would serve it soonest. */
type ExpectedService = {
  /** Time until the upstream has read what was sent there before. */
  readonly waiting: Milliseconds;
  /** Time to read the request's own prompt. */
  readonly reading: Milliseconds;
  /** Latest first token that is of use. */
  readonly objective: Milliseconds;
  /** Whether the engines' reading speed was measured, not assumed. */
  readonly isSpeedKnown: boolean;
};

/**
 * Whether a request comes too late for its objective wherever it is sent: the
 * time after which the queue will have room for it, or nothing if it fits.
 *
 * It answers to loads beyond the fleet, as while zones are reclaimed and
 * nothing can be ordered. Without it the queue grew to 4 s, where nobody was
 * served on time; refused ones leave the others within their objective, and
 * their callers know it at once.
 *
 * Nobody is refused for a speed that was only assumed: with engines twice as
 * fast as the reference, 3, 9 and 15 prompts were refused in the first 2.5 s of
 * three of four simulated days.
 *
 * @public
 */
export function findOverload(
  expected: ExpectedService,
): Milliseconds | undefined {
  const { waiting, reading, objective, isSpeedKnown } = expected;
  if (!isSpeedKnown || waiting < LEAST_QUEUE) {
    return undefined;
  }
  const own = Math.min(reading, objective * MOST_READING_SHARE);
  const excess = waiting + own + OVERHEAD - objective;
  return excess <= 0 ? undefined : Math.max(LEAST_RETRY_AFTER, excess);
}
