import type { Milliseconds } from "@heroncleat/base";
import type { TextPiece } from "@heroncleat/schema";
import { ReclaimAction } from "./reclaim_action.ts";
import type { RequestEffect } from "./request_effect.ts";
import type { RequestSettings } from "./request_settings.ts";
import type { UpstreamAttempt } from "./upstream_attempt.ts";

/** Result of an upstream's end of stream for the current attempt. */
type AttemptEnd = "ignored" | "incomplete" | "complete";

/**
 * Tracks the attempts of one request, of which at most one runs at a time: its
 * upstream, its timeouts and the upstreams that have failed the request.
 *
 * @internal
 */
export class AttemptSequence {
  readonly #settings: RequestSettings;
  readonly #pushEffect: (effect: RequestEffect) => void;
  #attempt: UpstreamAttempt | undefined;
  #attemptCount = 0;
  #lastUpstream = "";
  #failedUpstreams: string[] = [];
  #retryAt: Milliseconds | undefined;
  /** Upstream that holds the KV cache until `#kvSourceUntil`. */
  #kvSource = "";
  #kvSourceUntil: Milliseconds = 0;
  #droppedChunks = 0;

  constructor(
    settings: RequestSettings,
    pushEffect: (effect: RequestEffect) => void,
  ) {
    this.#settings = settings;
    this.#pushEffect = pushEffect;
  }

  get count(): number {
    return this.#attemptCount;
  }

  /** Upstream of the last attempt; empty before the first. */
  get lastUpstream(): string {
    return this.#lastUpstream;
  }

  /** Chunks dropped because of an unexpected attempt or position. */
  get droppedChunks(): number {
    return this.#droppedChunks;
  }

  get isExhausted(): boolean {
    return this.#attemptCount >= this.#settings.maxAttempts;
  }

  /** Next time at which a retry or a timeout is due. */
  get wakeAt(): Milliseconds {
    return Math.min(
      this.#retryAt ?? Infinity,
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

  /** Requests an upstream; `kvSource` is where to transfer the KV cache from. */
  route(kvSource: string): void {
    this.#retryAt = undefined;
    this.#attemptCount += 1;
    this.#attempt = {
      number: this.#attemptCount,
      upstream: "",
      kvSource,
      receivedChunks: 0,
      lastActivityAt: Infinity,
      firstChunkAt: 0,
      abandonAt: Infinity,
    };
    this.#pushEffect({
      kind: "route",
      attempt: this.#attemptCount,
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
    this.#pushEffect({
      kind: "dispatch",
      attempt: attempt.number,
      upstream: event.upstream,
      kvSource: attempt.kvSource,
      pieces: [...options.pieces],
    });
  }

  /** Schedules another try, since an accepted request waits for an upstream. */
  onUnroutable(attempt: number, now: Milliseconds): void {
    if (!this.isCurrent(attempt)) {
      return;
    }
    this.#kvSource = this.#attempt?.kvSource ?? "";
    this.#attempt = undefined;
    this.#attemptCount -= 1;
    this.#failedUpstreams = [];
    this.#retryAt = now + this.#settings.retryDelay;
  }

  /** Whether another try to route the request is due. */
  isRouteDue(now: Milliseconds): boolean {
    return this.#retryAt !== undefined && now >= this.#retryAt;
  }

  /** The upstream to transfer the KV cache from; empty once it is reclaimed. */
  kvSourceAt(now: Milliseconds): string {
    return now < this.#kvSourceUntil ? this.#kvSource : "";
  }

  /** Whether the upstream timed out or its VM is being reclaimed. */
  isOverdue(now: Milliseconds): boolean {
    const attempt = this.#attempt;
    if (attempt === undefined || attempt.upstream === "") {
      return false;
    }
    const isTimedOut =
      now - attempt.lastActivityAt >= this.#settings.idleTimeout;
    return isTimedOut || now >= attempt.abandonAt;
  }

  /** Accepts a chunk if it is the next one of the current attempt. */
  acceptChunk(
    event: { attempt: number; position: number },
    now: Milliseconds,
  ): boolean {
    const attempt = this.#attempt;
    const isExpected = attempt !== undefined &&
      attempt.number === event.attempt &&
      attempt.receivedChunks === event.position;
    if (!isExpected) {
      this.#droppedChunks += 1;
      return false;
    }
    if (attempt.receivedChunks === 0) {
      attempt.firstChunkAt = now;
    }
    attempt.receivedChunks += 1;
    attempt.lastActivityAt = now;
    return true;
  }

  /** Handles the end of a stream; a missing chunk makes it incomplete. */
  onFinished(event: { attempt: number; pieces: number }): AttemptEnd {
    const attempt = this.#attempt;
    if (attempt === undefined || attempt.number !== event.attempt) {
      return "ignored";
    }
    if (attempt.receivedChunks !== event.pieces) {
      return "incomplete";
    }
    this.#attempt = undefined;
    return "complete";
  }

  /** Drops the current attempt and excludes its upstream from later ones. */
  abandon(): void {
    const failed = this.#attempt?.upstream ?? "";
    this.#attempt = undefined;
    if (failed !== "") {
      this.#failedUpstreams.push(failed);
    }
  }

  /**
   * Decides whether the current attempt survives a reclaim of its upstream.
   * Returns undefined if the attempt continues. Otherwise returns the upstream
   * to transfer the KV cache from, or an empty string to recompute it.
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
      tokenInterval: tokenIntervalOf(attempt),
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

  /** Cancels the current attempt at its upstream. */
  cancel(): void {
    if (this.#attempt !== undefined && this.#attempt.upstream !== "") {
      this.#pushEffect({ kind: "cancel", attempt: this.#attempt.number });
    }
  }

  /** Drops the current attempt and any scheduled one. */
  clear(): void {
    this.#attempt = undefined;
    this.#retryAt = undefined;
  }
}

function tokenIntervalOf(attempt: UpstreamAttempt): Milliseconds {
  return attempt.receivedChunks < 2
    ? 0
    : (attempt.lastActivityAt - attempt.firstChunkAt) /
      (attempt.receivedChunks - 1);
}
