import type { Milliseconds } from "@heroncleat/base";
import type { KnownUpstream } from "./known_upstream.ts";
import type { UpdateSource } from "./update_source.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * Longest time by which a forwarded heartbeat may seem newer than it is: small
 * ages are left out, and an exchange takes up to its timeout.
 */
const MAX_FORWARDING_DELAY: Milliseconds = 1300;

/**
 * A report that comes later after the last heartbeat may have been held up while
 * another replica acknowledged its repetition.
 */
const MAX_PROMPT_DELAY: Milliseconds = 1250;

/**
 * Finds when an instance first said that it drains, or an earlier time, from an
 * update and what was known; undefined if neither tells. The first report that
 * arrives need not be the first that was acknowledged.
 *
 * @internal
 */
export function findDrainStart(
  update: UpstreamRecord,
  { known, now, source }: {
    known: KnownUpstream | undefined;
    now: Milliseconds;
    source: UpdateSource;
  },
): Milliseconds | undefined {
  if (update.state !== "draining") {
    return known?.drainingSince;
  }
  const isDirect = source.reporter === "";
  const reported = isDirect
    ? observedStart(update, known, now)
    : source.drainAge === undefined
    ? undefined
    : now - source.drainAge;
  const starts = [known?.drainingSince, reported].filter((start) =>
    start !== undefined
  );
  return starts.length > 0 ? Math.min(...starts) : undefined;
}

/** The start of a drain that the upstream reports to this process itself. */
function observedStart(
  { sequence }: UpstreamRecord,
  known: KnownUpstream | undefined,
  now: Milliseconds,
): Milliseconds | undefined {
  if (
    known?.record.state !== "ready" || sequence <= known.record.sequence
  ) {
    return undefined;
  }
  const delay = known.reporter === "" ? 0 : MAX_FORWARDING_DELAY;
  const wasReadyAt = known.receivedAt - delay;
  const isPrompt = sequence === known.record.sequence + 1 &&
    now - wasReadyAt <= MAX_PROMPT_DELAY;
  return isPrompt ? now : wasReadyAt;
}
