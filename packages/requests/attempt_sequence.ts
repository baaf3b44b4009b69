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
  get droppedChunks(): number {
    return this.#dropped;
  }

  get isExhausted(): boolean {
    return this.#count >= this.#settings.maxAttempts;
  }

  get wakeAt(): Milliseconds {
    return Math.min(
      this.#routeAt ?? Infinity,
      (this.#attempt?.lastActivityAt ?? Infinity) + this.#settings.idleTimeout,
      this.#attempt?.abandonAt ?? Infinity,
    );
  }

  isCurrent(attempt: number): boolean {
    return this.#attempt?.number === attempt;
  }

  isRunningAt(upstream: string): boolean {
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
      receivedChunks: 0,
      lastActivityAt: Infinity,
      firstChunkAt: 0,
      abandonAt: Infinity,
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
    attempt.lastActivityAt = options.now;
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
    this.#routeAt = now + this.#settings.retryDelay;
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
    const silent = now - attempt.lastActivityAt >= this.#settings.idleTimeout;
    return silent || now >= attempt.abandonAt;
  }

  /** Whether a piece is the next one of the present attempt. */
  acceptChunk(
    event: { attempt: number; position: number },
    now: Milliseconds,
  ): boolean {
    const attempt = this.#attempt;
    const expected = attempt !== undefined &&
      attempt.number === event.attempt &&
      attempt.receivedChunks === event.position;
    if (!expected) {
      this.#dropped += 1;
      return false;
    }
    if (attempt.receivedChunks === 0) {
      attempt.firstChunkAt = now;
    }
    attempt.receivedChunks += 1;
    attempt.lastActivityAt = now;
    return true;
  }

  /** An end counts only behind as many pieces as the upstream says. */
  onFinished(event: { attempt: number; pieces: number }): AttemptEnd {
    const attempt = this.#attempt;
    if (attempt === undefined || attempt.number !== event.attempt) {
      return "ignored";
    }
    if (attempt.receivedChunks !== event.pieces) {
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
  onReclaim(
    reclaimIn: Milliseconds,
    options: {
      contextTokens: number;
      remainingTokens: number;
      now: Milliseconds;
    },
  ): string | undefined {
    const attempt = this.#attempt!;
    const action = this.#settings.chooseReclaimAction({
      reclaimIn,
      contextTokens: options.contextTokens,
      remainingTokens: options.remainingTokens,
      tokenInterval: paceOf(attempt),
    });
    if (action === ReclaimAction.finish) {
      attempt.abandonAt = options.now + reclaimIn;
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
  return attempt.receivedChunks < 2
    ? 0
    : (attempt.lastActivityAt - attempt.firstChunkAt) /
      (attempt.receivedChunks - 1);
}
