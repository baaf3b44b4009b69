import type { Milliseconds } from "@heroncleat/base";
import type { ChosenUpstream } from "@heroncleat/serving";

/** What an attempt's line in the log is made from. */
type TraceOptions = {
  readonly chosen: ChosenUpstream;
  /** Time since the request arrived. */
  readonly sentAfter: Milliseconds;
  /** Time since the chosen upstream was last heard of. */
  readonly lastSeenAge: Milliseconds;
  /** Time since the newest reply of a control replica. */
  readonly syncAge: Milliseconds;
};

/**
 * One attempt as it is logged: why this upstream was chosen, how old the
 * state behind the choice was, and when its answer began.
 */
export class AttemptTrace {
  readonly #options: TraceOptions;
  #firstByteAfter: Milliseconds | undefined;

  constructor(options: TraceOptions) {
    this.#options = options;
  }

  /** Notes the time between the send and the answer's first byte. */
  recordFirstByte(after: Milliseconds): void {
    this.#firstByteAfter = after;
  }

  /** A short text of key=value pairs, behind the upstream and its outcome. */
  describe(outcome: string): string {
    const { chosen, sentAfter, lastSeenAge, syncAge } = this.#options;
    const { upstream, uncachedTokens, fetchedTokens, source } = chosen;
    const facts = [
      `sent_after=${Math.round(sentAfter)}ms`,
      `expected=${Math.round(chosen.expected)}ms`,
      `uncached=${uncachedTokens}`,
      `sync_age=${Math.round(syncAge)}ms`,
      `state=${upstream.record.state}`,
      `heard=${Math.round(lastSeenAge)}ms`,
      `reported_by=${upstream.reporter}`,
    ];
    if (source !== undefined) {
      facts.push(`fetched=${fetchedTokens}`, `source=${source.record.id}`);
    }
    if (this.#firstByteAfter !== undefined) {
      facts.push(`first_byte=${Math.round(this.#firstByteAfter)}ms`);
    }
    return `${upstream.record.id}: ${outcome} (${facts.join(" ")})`;
  }
}
