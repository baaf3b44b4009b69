import type { Milliseconds, Random } from "@heroncleat/base";

/**
 * Time for which an upstream is avoided after it rejected a request without
 * asking for rest. It doubles with each further rejection.
 */
const MIN_BACKOFF: Milliseconds = 1000;
const MAX_BACKOFF: Milliseconds = 8000;
/** Longest time after a rest in which an entry prefers other upstreams. */
const MAX_RETURN_SPREAD: Milliseconds = 1000;
/** Returning entries are spread over this share of the rest. */
const RETURN_SPREAD_SHARE = 0.5;
/** Time for which it is known that an upstream has accepted a request. */
const ACCEPTANCE_RETENTION: Milliseconds = 60_000;
/** Time for which it is known that an instance leaves. */
const LEAVING_RETENTION: Milliseconds = 600_000;

/** What one upstream instance stated, by this entry's clock. */
type Statement = {
  /** End of the longest rest that it asked for. */
  restsUntil: Milliseconds;
  /** Whether the connection by which it last asked for rest is open. */
  isConnected: () => boolean;
  /** Until when others are preferred, as it rejected requests. */
  avoidedUntil: Milliseconds;
  /** Rejections since it last accepted a request, and the newest one. */
  rejections: number;
  rejectedAt: Milliseconds;
  /** Requests in flight that will tell whether it accepts again. */
  trials: number;
  /** When it first and last stated that it leaves; undefined if it didn't. */
  leavingSince: Milliseconds | undefined;
  leavingAt: Milliseconds | undefined;
};

/** A rejection of a request that has not run. */
type Rejection = {
  /** Time for which the upstream asks for no further request. */
  readonly rest: Milliseconds;
  /** Whether it only advises to wait, so that others are preferred. */
  readonly isAdvice?: boolean;
  /** Whether the connection by which it came is still open. */
  readonly isConnected?: () => boolean;
  readonly now: Milliseconds;
};

/**
 * What upstream instances state about themselves in responses to this entry:
 * that they want no requests for some time, and that they leave. Another start
 * of an upstream isn't bound by it.
 *
 * @public
 */
export class UpstreamStatements {
  readonly #random: Random;
  readonly #statements = new Map<string, Statement>();
  /** When upstreams last accepted a request that was sent then. */
  readonly #acceptedAt = new Map<string, Milliseconds>();
  /** When the first of the upstreams that are unproven now rejected one. */
  #unprovenSince: Milliseconds = Infinity;

  /** @param random Returns a number from 0 to 1. */
  constructor(random: Random) {
    this.#random = random;
  }

  /**
   * Records that an upstream rejected a request without running it.
   *
   * @returns Whether it rests from now on, and didn't before.
   */
  recordRejection(
    upstream: string,
    { rest, isAdvice = false, isConnected, now }: Rejection,
  ): boolean {
    const statement = this.#statementOf(upstream);
    const wasResting = statement.restsUntil > now;
    if (!this.hasUnproven) {
      this.#unprovenSince = now;
    }
    statement.rejections += 1;
    statement.rejectedAt = now;
    if (rest > 0 && !isAdvice) {
      statement.restsUntil = Math.max(statement.restsUntil, now + rest);
      statement.isConnected = isConnected ?? isNeverConnected;
      const spread = Math.min(MAX_RETURN_SPREAD, rest * RETURN_SPREAD_SHARE);
      statement.avoidedUntil = statement.restsUntil + this.#random() * spread;
    } else {
      const backoff = this.#backoffOf(statement);
      statement.avoidedUntil = Math.max(
        statement.avoidedUntil,
        now + Math.max(rest, backoff),
      );
    }
    return !wasResting && statement.restsUntil > now;
  }

  /**
   * Applies a rest also to the next instance at the same address, if the
   * connection by which it was asked for is still open, as this process learned
   * late of that start.
   *
   * @returns Whether the next instance rests now.
   */
  carryOverRest(
    { from, to }: { from: string; to: string },
    now: Milliseconds,
  ): boolean {
    const earlier = this.#statements.get(from);
    if (
      earlier === undefined || earlier.restsUntil <= now ||
      !earlier.isConnected()
    ) {
      return false;
    }
    const { restsUntil, avoidedUntil, isConnected } = earlier;
    const next = this.#statementOf(to);
    next.restsUntil = Math.max(next.restsUntil, restsUntil);
    next.avoidedUntil = Math.max(next.avoidedUntil, avoidedUntil);
    next.rejections = Math.max(next.rejections, 1);
    next.rejectedAt = Math.max(next.rejectedAt, earlier.rejectedAt);
    next.isConnected = isConnected;
    return true;
  }

  /**
   * Records that an upstream began to respond to a request, rather than reject
   * it. A request that was sent before a rejection says nothing about it.
   */
  recordAcceptance(upstream: string, sentAt: Milliseconds): void {
    const acceptedAt = this.#acceptedAt.get(upstream) ?? -Infinity;
    this.#acceptedAt.set(upstream, Math.max(acceptedAt, sentAt));
    const statement = this.#statements.get(upstream);
    if (statement !== undefined && sentAt >= statement.rejectedAt) {
      statement.rejections = 0;
      statement.avoidedUntil = -Infinity;
    }
  }

  /**
   * Records that an upstream states that it leaves.
   *
   * @returns Whether it is the first time.
   */
  recordLeaving(upstream: string, now: Milliseconds): boolean {
    const statement = this.#statementOf(upstream);
    const isFirst = statement.leavingSince === undefined;
    statement.leavingSince ??= now;
    statement.leavingAt = now;
    return isFirst;
  }

  /** Whether an upstream stated that it leaves. */
  isLeaving(upstream: string): boolean {
    return this.leavingSince(upstream) !== undefined;
  }

  /** When an upstream first stated that it leaves; undefined if it didn't. */
  leavingSince(upstream: string): Milliseconds | undefined {
    return this.#statements.get(upstream)?.leavingSince;
  }

  /** Whether an upstream asked this entry to send nothing now. */
  isResting(upstream: string, now: Milliseconds): boolean {
    return this.restsUntil(upstream) > now;
  }

  /** End of the rest that an upstream asked for; -Infinity without one. */
  restsUntil(upstream: string): Milliseconds {
    return this.#statements.get(upstream)?.restsUntil ?? -Infinity;
  }

  /** Whether to prefer other upstreams, as this one may reject again. */
  isAvoided(upstream: string, now: Milliseconds): boolean {
    const statement = this.#statements.get(upstream);
    return statement !== undefined && statement.rejections > 0 &&
      (statement.avoidedUntil > now || statement.trials > 0);
  }

  /** Whether an upstream has accepted nothing since it rejected a request. */
  isUnproven(upstream: string): boolean {
    return (this.#statements.get(upstream)?.rejections ?? 0) > 0;
  }

  /**
   * Whether an upstream has accepted nothing since another one began to reject
   * requests, so that it may do so as well.
   */
  isUntested(upstream: string): boolean {
    return (this.#acceptedAt.get(upstream) ?? -Infinity) < this.#unprovenSince;
  }

  /** Whether any upstream has accepted nothing since it rejected a request. */
  get hasUnproven(): boolean {
    for (const { rejections } of this.#statements.values()) {
      if (rejections > 0) {
        return true;
      }
    }
    return false;
  }

  /** Whether any upstream rests now. */
  hasRests(now: Milliseconds): boolean {
    for (const _upstream of this.listResting(now)) {
      return true;
    }
    return false;
  }

  /** Upstreams that rest now. */
  *listResting(now: Milliseconds): Iterable<string> {
    for (const [upstream, { restsUntil }] of this.#statements) {
      if (restsUntil > now) {
        yield upstream;
      }
    }
  }

  /**
   * Tracks a request that is about to be sent. After rejections others are
   * preferred until the response to it has begun.
   *
   * @returns Must be called once the response has begun, or none will.
   */
  trackTrial(upstream: string): () => void {
    const statement = this.#statements.get(upstream);
    if (statement === undefined || statement.rejections === 0) {
      return () => {};
    }
    statement.trials += 1;
    let isOver = false;
    return () => {
      statement.trials -= isOver ? 0 : 1;
      isOver = true;
    };
  }

  /** Forgets what no longer matters, whether or not the upstream is known. */
  expire(now: Milliseconds): void {
    for (const [upstream, at] of this.#acceptedAt) {
      if (at < now - ACCEPTANCE_RETENTION) {
        this.#acceptedAt.delete(upstream);
      }
    }
    for (const [upstream, statement] of this.#statements) {
      const isCurrent = statement.restsUntil > now ||
        statement.avoidedUntil > now - MAX_BACKOFF || statement.trials > 0 ||
        (statement.leavingAt ?? -Infinity) > now - LEAVING_RETENTION;
      if (!isCurrent) {
        this.#statements.delete(upstream);
      }
    }
  }

  #backoffOf({ rejections }: Statement): Milliseconds {
    const backoff = Math.min(MAX_BACKOFF, MIN_BACKOFF * 2 ** (rejections - 1));
    return backoff * (0.5 + this.#random());
  }

  #statementOf(upstream: string): Statement {
    const existing = this.#statements.get(upstream);
    if (existing !== undefined) {
      return existing;
    }
    const statement: Statement = {
      restsUntil: -Infinity,
      isConnected: isNeverConnected,
      avoidedUntil: -Infinity,
      rejections: 0,
      rejectedAt: -Infinity,
      trials: 0,
      leavingSince: undefined,
      leavingAt: undefined,
    };
    this.#statements.set(upstream, statement);
    return statement;
  }
}

function isNeverConnected(): boolean {
  return false;
}
