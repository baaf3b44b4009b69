import type { Milliseconds } from "@heroncleat/base";
import type { ChosenUpstream } from "@heroncleat/serving";

type ChoiceTimes = {
  /** Time between the arrival of the request and the attempt. */
  readonly sentAfter: Milliseconds;
  /** Time since the last heartbeat or update of the chosen upstream. */
  readonly lastSeenAge: Milliseconds;
  /** Time since the newest reply of a control replica. */
  readonly syncAge: Milliseconds;
};

/**
 * Lists for the log why an upstream was chosen and how old the state behind the
 * choice was, as key=value pairs.
 */
export function describeChoice(
  { upstream, uncachedTokens, fetchedTokens, source, expectedFirstTokenTime }:
    ChosenUpstream,
  { sentAfter, lastSeenAge, syncAge }: ChoiceTimes,
): string[] {
  const facts = [
    `sent_after=${Math.round(sentAfter)}ms`,
    `expected=${Math.round(expectedFirstTokenTime)}ms`,
    `uncached=${uncachedTokens}`,
    `version=${upstream.record.version ?? ""}`,
    `sync_age=${Math.round(syncAge)}ms`,
    `state=${upstream.record.state}`,
    `heard=${Math.round(lastSeenAge)}ms`,
    `reported_by=${upstream.reporter}`,
  ];
  if (source !== undefined) {
    facts.push(`fetched=${fetchedTokens}`, `source=${source.record.id}`);
  }
  return facts;
}
