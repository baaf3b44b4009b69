import type { Milliseconds } from "@heroncleat/base";
import type { TextPiece } from "@heroncleat/schema";
import { ReclaimAction } from "./reclaim_action.ts";
import type { RequestEffect } from "./request_effect.ts";
import type { RequestSettings } from "./request_settings.ts";
import type { UpstreamAttempt } from "./upstream_attempt.ts";

/** How the end of an attempt is to be taken. */
type AttemptEnd = "ignored" | "broken" | "whole";

/**
 * The attempts of one request, one at a time: which upstream runs it, whether
 * it is still heard, and which upstreams have failed it.
 *
 * @internal
 */
export class AttemptSequence {
  readonly #settings: RequestSettings;
  readonly #push: (effect: RequestEffect) => void;
  #attempt: UpstreamAttempt | undefined;
  #count = 0;
  #lastUpstream = "";
  #failedUpstreams: string[] = [];
  #routeAt: Milliseconds | undefined;
  /** Upstream that still has the KV cache, and until when. */
  #kvSource = "";
  #kvSourceUntil: Milliseconds = 0;
  #dropped = 0;

  constructor(
    settings: RequestSettings,
    push: (effect: RequestEffect) => void,
  ) {
    this.#settings = settings;
    this.#push = push;
  }

  get count(): number {
    return this.#count;
  }

  /** Upstream of the last attempt; empty before the first. */
  get lastUpstream(): string {
    return this.#lastUpstream;
  }

  /** Pieces dropped because their attempt or place wasn't the expected one. */
  get dropped(): number {
    return this.#dropped;
  }

  get isExhausted(): boolean {
    return this.#count >= this.#settings.mostAttempts;
  }

  get wakeAt(): Milliseconds {
    return Math.min(
      this.#routeAt ?? Infinity,
      (this.#attempt?.heardAt ?? Infinity) + this.#settings.idleTimeout,
      this.#attempt?.leaveAt ?? Infinity,
    );
  }

  isCurrent(attempt: number): boolean {
    return this.#attempt?.number === attempt;
  }

  isAt(upstream: string): boolean {
    return this.#attempt?.upstream === upstream;
  }

  /** Asks for an upstream, whose KV cache may come from another. */
  route(kvSource: string): void {
    this.#routeAt = undefined;
    this.#count += 1;
    this.#attempt = {
      number: this.#count,
      upstream: "",
      kvSource,
      received: 0,
      heardAt: Infinity,
      firstAt: 0,
      leaveAt: Infinity,
    };
    this.#push({
      kind: "route",
      attempt: this.#count,
      exclude: [...this.#failedUpstreams],
      kvSource,
    });
  }

  onRouted(
    event: { attempt: number; upstream: string },
    options: { pieces: readonly TextPiece[]; now: Milliseconds },
  ): void {
    const attempt = this.#attempt;
    if (attempt === undefined || attempt.number !== event.attempt) {
      return;
    }
    attempt.upstream = event.upstream;
    attempt.heardAt = options.now;
    this.#lastUpstream = event.upstream;
    this.#push({
      kind: "dispatch",
      attempt: attempt.number,
      upstream: event.upstream,
      kvSource: attempt.kvSource,
      pieces: [...options.pieces],
    });
  }

  /** No upstream now; an accepted request waits for one to come. */
  onUnroutable(attempt: number, now: Milliseconds): void {
    if (!this.isCurrent(attempt)) {
      return;
    }
    this.#kvSource = this.#attempt?.kvSource ?? "";
    this.#attempt = undefined;
    this.#count -= 1;
    this.#failedUpstreams = [];
    this.#routeAt = now + this.#settings.retryPause;
  }

  /** Whether it is time to ask for an upstream again. */
  isRouteDue(now: Milliseconds): boolean {
    return this.#routeAt !== undefined && now >= this.#routeAt;
  }

  /** The upstream to take the KV cache from, while it is still there. */
  kvSourceAt(now: Milliseconds): string {
    return now < this.#kvSourceUntil ? this.#kvSource : "";
  }

  /** Whether the upstream is silent, or its VM is about to be taken. */
  isOverdue(now: Milliseconds): boolean {
    const attempt = this.#attempt;
    if (attempt === undefined || attempt.upstream === "") {
      return false;
    }
    const silent = now - attempt.heardAt >= this.#settings.idleTimeout;
    return silent || now >= attempt.leaveAt;
  }

  /** Whether a piece is the next one of the present attempt. */
  takes(event: { attempt: number; place: number }, now: Milliseconds): boolean {
    const attempt = this.#attempt;
    const expected = attempt !== undefined &&
      attempt.number === event.attempt && attempt.received === event.place;
    if (!expected) {
      this.#dropped += 1;
      return false;
    }
    if (attempt.received === 0) {
      attempt.firstAt = now;
    }
    attempt.received += 1;
    attempt.heardAt = now;
    return true;
  }

  /** An end counts only behind as many pieces as the upstream says. */
  onFinished(event: { attempt: number; pieces: number }): AttemptEnd {
    const attempt = this.#attempt;
    if (attempt === undefined || attempt.number !== event.attempt) {
      return "ignored";
    }
    if (attempt.received !== event.pieces) {
      return "broken";
    }
    this.#attempt = undefined;
    return "whole";
  }

  /** Leaves the present attempt; its upstream is not asked again. */
  abandon(): void {
    const failed = this.#attempt?.upstream ?? "";
    this.#attempt = undefined;
    if (failed !== "") {
      this.#failedUpstreams.push(failed);
    }
  }

  /**
   * Decides what a reclaim means for the present attempt. Returns nothing when
   * it stays, else where the next one may take the KV cache from.
   */
  onLeaving(
    reclaimIn: Milliseconds,
    options: { tokensHeld: number; tokensLeft: number; now: Milliseconds },
  ): string | undefined {
    const attempt = this.#attempt!;
    const action = this.#settings.chooseOnReclaim({
      reclaimIn,
      tokensHeld: options.tokensHeld,
      tokensLeft: options.tokensLeft,
      pace: paceOf(attempt),
    });
    if (action === ReclaimAction.finish) {
      attempt.leaveAt = options.now + reclaimIn;
      return undefined;
    }
    this.#kvSourceUntil = options.now + reclaimIn;
    const { upstream } = attempt;
    this.cancel();
    this.abandon();
    return action === ReclaimAction.transfer ? upstream : "";
  }

  /** Stops the present attempt at its upstream. */
  cancel(): void {
    if (this.#attempt !== undefined && this.#attempt.upstream !== "") {
      this.#push({ kind: "cancel", attempt: this.#attempt.number });
    }
  }

  /** Forgets the present attempt and any that was to come. */
  clear(): void {
    this.#attempt = undefined;
    this.#routeAt = undefined;
  }
}

function paceOf(attempt: UpstreamAttempt): Milliseconds {
  return attempt.received < 2
    ? 0
    : (attempt.heardAt - attempt.firstAt) / (attempt.received - 1);
}
