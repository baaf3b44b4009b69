import type { Milliseconds } from "@heroncleat/base";
import type { ReceivedRequest } from "./received_request.ts";
import type { AcknowledgedDeparture } from "./soak_upstream.ts";

/** Time after an acknowledgement in which entries may not know of it. */
const PROPAGATION_TIME: Milliseconds = 1000;

type DrainCheckOptions = {
  /** Time for which a departing upstream may still receive requests. */
  readonly drainTime: Milliseconds;
  /** Whether the replica at an operator address was undisturbed at a time. */
  readonly wasReplicaUndisturbed: (
    address: string,
    at: Milliseconds,
  ) => boolean;
  /** Whether the entry on a host was undisturbed at a time. */
  readonly wasEntryUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** Describes the state of a host at a time, for the text of a finding. */
  readonly describe: (host: string, at: Milliseconds) => string;
  readonly report: (promise: "leaving" | "draining", text: string) => void;
};

/**
 * Checks that upstreams receive nothing once their drain time is over, and
 * before that nothing but streams that go on and requests that failed elsewhere.
 */
export class DrainChecks {
  readonly #options: DrainCheckOptions;
  readonly #departures = new Map<string, AcknowledgedDeparture>();
  readonly #reportedPairs = new Set<string>();
  readonly #receivedAttempts = new Set<string>();
  /**
   * Longest time from an acknowledged departure to a request that was received
   * after it: from undisturbed entries, and from any.
   */
  latest = { undisturbed: 0, any: 0 };
  /** The same for first tries from undisturbed entries. */
  latestFirstTry: Milliseconds = 0;
  /** Streams that went on at upstreams after their acknowledged departures. */
  continued = 0;

  constructor(options: DrainCheckOptions) {
    this.#options = options;
  }

  get departureCount(): number {
    return this.#departures.size;
  }

  recordDeparture(departure: AcknowledgedDeparture): void {
    this.#departures.set(departure.upstream, departure);
  }

  checkReceived(received: ReceivedRequest): void {
    const { upstream, from, at, attempt } = received;
    const isFirstTry = !received.isResumed &&
      !this.#receivedAttempts.has(attempt);
    this.#receivedAttempts.add(attempt);
    const departure = this.#departures.get(upstream);
    if (departure === undefined) {
      return;
    }
    const { drainTime, wasEntryUndisturbed, wasReplicaUndisturbed } =
      this.#options;
    const after = at - departure.at;
    this.latest.any = Math.max(this.latest.any, after);
    this.continued += received.isResumed ? 1 : 0;
    const isChecked = wasReplicaUndisturbed(departure.by, departure.at) &&
      wasEntryUndisturbed(from, at);
    if (!isChecked) {
      return;
    }
    this.latest.undisturbed = Math.max(this.latest.undisturbed, after);
    if (after > drainTime) {
      this.#report("leaving", departure, received);
    } else if (isFirstTry) {
      this.latestFirstTry = Math.max(this.latestFirstTry, after);
      if (after > PROPAGATION_TIME) {
        this.#report("draining", departure, received);
      }
    }
  }

  /** Reports each pair of an upstream and an entry once. */
  #report(
    promise: "leaving" | "draining",
    departure: AcknowledgedDeparture,
    { upstream, from, at, attempt, isResumed }: ReceivedRequest,
  ): void {
    const pair = `${promise} ${upstream} ${from}`;
    if (this.#reportedPairs.has(pair)) {
      return;
    }
    this.#reportedPairs.add(pair);
    const { describe, report } = this.#options;
    const { by, mode } = departure;
    const kind = isResumed ? "a resumed stream" : "a request";
    report(
      promise,
      `${upstream} received ${kind}, ${attempt}, ` +
        `${
          Math.round(at - departure.at)
        } ms after ${by} acknowledged that it ` +
        `${mode}; sent by ${describe(from, at)}; the replica: ` +
        describe(by.split(":")[0]!, at),
    );
  }
}
