import type { Milliseconds } from "@heroncleat/base";
import type { ReceivedRequest } from "./received_request.ts";

/** Time after a rejection in which requests may still be on their way. */
const REACTION_TIME: Milliseconds = 500;
/** Requests of one entry that an upstream may get during a rest. */
const MAX_REQUESTS = 2;
/** Two clock readings of one moment differ by less. */
const CLOCK_TOLERANCE: Milliseconds = 50;

type StatedRest = {
  readonly statedAt: Milliseconds;
  readonly until: Milliseconds;
  received: number;
};

type Environment = {
  /** Time for which a leaving upstream may still receive requests. */
  readonly drainTime: Milliseconds;
  /** Whether a host was undisturbed at a time, whatever the replicas did. */
  readonly wasHostUndisturbed: (host: string, at: Milliseconds) => boolean;
  /** When a host's entry was last started, stopped, frozen or resumed. */
  readonly interruptedAt: (host: string) => Milliseconds;
  readonly report: (
    promise: "rest" | "leaving_stated",
    text: string,
  ) => void;
};

/**
 * Checks that entries heed what upstreams state in their responses: that they
 * want no requests for some time, and that they leave.
 */
export class StatementChecks {
  readonly #environment: Environment;
  readonly #rests = new Map<string, StatedRest[]>();
  /** When an entry first passed on that an upstream leaves. */
  readonly #leavingAt = new Map<string, Milliseconds>();
  readonly #sentAt = new Map<string, Milliseconds>();
  /** Rests that upstreams asked for, and entries told that one leaves. */
  readonly counts = { rests: 0, departures: 0 };

  constructor(environment: Environment) {
    this.#environment = environment;
  }

  /** Records when a caller sent an attempt. */
  recordSent(attempt: string, at: Milliseconds): void {
    this.#sentAt.set(attempt, at);
  }

  /** Records a rejection that asks for rest. */
  recordRest(upstream: string, to: string, duration: Milliseconds): void {
    const key = keyOf(upstream, to);
    const rests = this.#rests.get(key) ?? [];
    const statedAt = performance.now();
    const current = rests.filter(({ until }) => until > statedAt);
    current.push({ statedAt, until: statedAt + duration, received: 0 });
    this.#rests.set(key, current);
    this.counts.rests += 1;
  }

  /** Records a response that says that its upstream leaves. */
  recordLeaving(upstream: string, to: string): void {
    const key = keyOf(upstream, to);
    if (!this.#leavingAt.has(key)) {
      this.#leavingAt.set(key, performance.now());
      this.counts.departures += 1;
    }
  }

  /** An upstream that starts again isn't bound by what it stated before. */
  forget(upstream: string): void {
    for (const recorded of [this.#rests, this.#leavingAt]) {
      for (const key of recorded.keys()) {
        if (key.startsWith(keyOf(upstream, ""))) {
          recorded.delete(key);
        }
      }
    }
  }

  checkReceived(received: ReceivedRequest): void {
    this.#checkRests(received);
    this.#checkLeaving(received);
  }

  #checkRests({ upstream, from, at }: ReceivedRequest): void {
    const { wasHostUndisturbed, interruptedAt, report } = this.#environment;
    for (const rest of this.#rests.get(keyOf(upstream, from)) ?? []) {
      const isCounted = at > rest.statedAt + REACTION_TIME && at < rest.until &&
        wasHostUndisturbed(from, at) && interruptedAt(from) < rest.statedAt;
      if (!isCounted) {
        continue;
      }
      rest.received += 1;
      if (rest.received === MAX_REQUESTS + 1) {
        const asked = Math.round(rest.until - rest.statedAt);
        const after = Math.round(at - rest.statedAt);
        report(
          "rest",
          `${upstream} asked ${from} for ${asked} ms of rest and got ` +
            `${rest.received} requests by ${after} ms after`,
        );
      }
    }
  }

  #checkLeaving({ upstream, from, attempt }: ReceivedRequest): void {
    const { drainTime, interruptedAt, report } = this.#environment;
    const statedAt = this.#leavingAt.get(keyOf(upstream, from));
    const sentAt = this.#sentAt.get(attempt);
    if (
      statedAt === undefined || sentAt === undefined ||
      interruptedAt(from) > statedAt
    ) {
      return;
    }
    const after = sentAt - statedAt;
    if (after > drainTime + CLOCK_TOLERANCE) {
      report(
        "leaving_stated",
        `${upstream} got ${attempt} from ${from}, which its caller sent ` +
          `${Math.round(after)} ms after an answer that says that it leaves`,
      );
    }
  }
}

function keyOf(upstream: string, entry: string): string {
  return `${upstream} ${entry}`;
}
