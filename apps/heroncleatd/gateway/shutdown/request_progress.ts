import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "@heroncleat/base";

/** What is known of a request once it may be forwarded. */
type AdmittedRequest = {
  readonly route: { readonly name: string };
  /**
   * Output tokens that the caller expects or allows; 0 if it states neither.
   */
  readonly size: number;
  /** Monotonic time at which it times out. */
  readonly deadline: Milliseconds;
  /** Name of the entry that passed it on; undefined if none did. */
  readonly relayedBy?: string | undefined;
};

/**
 * How far a request has come. Forwarding updates it for each chunk, so updates
 * only store what they are given. Times are monotonic.
 */
export class RequestProgress {
  #admitted: AdmittedRequest | undefined;
  #chosen: string | undefined;
  #upstream: string | undefined;
  #sentAt: Milliseconds | undefined;
  #message: IncomingMessage | undefined;
  #receivedAt: Milliseconds | undefined;
  #passedOnAt: Milliseconds | undefined;
  #unsentBytes: number | undefined;

  /** Records that the request may be forwarded. */
  recordAdmitted(request: AdmittedRequest): void {
    this.#admitted = request;
  }

  /** Records that an upstream was chosen and a connection to it is opened. */
  recordChosen(
    upstream: { readonly id: string; readonly address: string },
  ): void {
    this.#chosen = `${upstream.id} at ${upstream.address}`;
  }

  /**
   * Records that an attempt was sent.
   *
   * @param upstream Identifier of an upstream, or `entry:` and the name of an
   *     entry.
   */
  recordSent(upstream: string, now: Milliseconds): void {
    this.#upstream = upstream;
    this.#sentAt = now;
    this.#message = undefined;
    this.#receivedAt = undefined;
  }

  /** Records the head of the last attempt's response. */
  recordHead(message: IncomingMessage, now: Milliseconds): void {
    this.#message = message;
    this.#receivedAt = now;
  }

  /** Records that bytes of the last attempt's response were read. */
  recordReceived(now: Milliseconds): void {
    this.#receivedAt = now;
  }

  /** Records that bytes were written to the caller's connection. */
  recordPassedOn(now: Milliseconds): void {
    this.#passedOnAt = now;
  }

  /** Records the bytes that the caller's connection hadn't taken at its end. */
  recordUnsent(bytes: number): void {
    this.#unsentBytes = bytes;
  }

  /**
   * The upstream of the last attempt and its address, also if it wasn't sent;
   * empty if none was chosen.
   */
  get chosen(): string {
    return this.#chosen ?? "";
  }

  /** Whether an attempt was sent. */
  get wasSent(): boolean {
    return this.#sentAt !== undefined;
  }

  /** Whether the response of the last attempt has arrived completely. */
  get hasUpstreamEnded(): boolean {
    return this.#message?.complete ?? false;
  }

  /**
   * Lists for logs what is known, with times in ms after the signal that began
   * the shutdown, negative before it.
   *
   * @param stoppedAt Monotonic time of the signal.
   */
  describe(stoppedAt: Milliseconds): Record<string, string | number> {
    const facts = {
      route: this.#admitted?.route.name,
      size: this.#admitted?.size,
      deadlineAt: sinceSignal(this.#admitted?.deadline, stoppedAt),
      relayedBy: this.#admitted?.relayedBy,
      upstream: this.#upstream,
      sentAt: sinceSignal(this.#sentAt, stoppedAt),
      receivedAt: sinceSignal(this.#receivedAt, stoppedAt),
      isPaused: this.#message?.isPaused() === true ? 1 : 0,
      upstreamEnded: this.hasUpstreamEnded ? 1 : 0,
      passedOnAt: sinceSignal(this.#passedOnAt, stoppedAt),
      unsentBytes: this.#unsentBytes,
    };
    const described: Record<string, string | number> = {};
    for (const [name, fact] of Object.entries(facts)) {
      if (fact !== undefined) {
        described[name] = fact;
      }
    }
    return described;
  }
}

function sinceSignal(
  time: Milliseconds | undefined,
  stoppedAt: Milliseconds,
): Milliseconds | undefined {
  return time === undefined ? undefined : Math.round(time - stoppedAt);
}
