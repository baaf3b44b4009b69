import type { Clock, Milliseconds } from "@heroncleat/base";
import type { ControlLink } from "./control_link.ts";

/** Longest wait for the replies that confirm an entry's view. */
const CONFIRM_TIMEOUT: Milliseconds = 150;
/** Callers that wait at a time; further ones are told at once. */
const MAX_WAITING = 1000;

type ConfirmationOptions = {
  readonly clock: Pick<Clock, "steady">;
  readonly links: () => Iterable<ControlLink>;
  /** Whether a confirmation isn't known to fail; it spares the wait. */
  readonly mayBeCurrent: () => boolean;
  /** Exchanges with all replicas now, or after the exchange in flight. */
  readonly exchangeWithAll: () => void;
  /** Time between two such exchanges, at least. */
  readonly pause: () => Milliseconds;
};

/**
 * Finds out whether an entry has heard of all that the control replicas knew at
 * a moment, by replies to requests that are sent after it: a version that began
 * a stream before was listed by some replica, which still lists it. Callers that
 * wait at the same time share the exchanges.
 */
export class ViewConfirmation {
  readonly #options: ConfirmationOptions;
  /** Called after each exchange, with whether it may be current. */
  readonly #waiting = new Set<(mayBeCurrent: boolean) => void>();
  #exchangedAt: Milliseconds = -Infinity;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;

  constructor(options: ConfirmationOptions) {
    this.#options = options;
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
    this.#notify(false);
  }

  /** Called after each reply, and after each failed exchange. */
  recordExchange(): void {
    if (this.#waiting.size > 0) {
      this.#notify(this.#options.mayBeCurrent());
    }
  }

  #notify(mayBeCurrent: boolean): void {
    for (const check of this.#waiting) {
      check(mayBeCurrent);
    }
  }

  async confirm(): Promise<boolean> {
    const { clock, mayBeCurrent } = this.#options;
    const isFull = this.#waiting.size >= MAX_WAITING;
    if (this.#isStopped || isFull || !mayBeCurrent()) {
      return false;
    }
    const calledAt = clock.steady();
    this.#scheduleExchange(calledAt);
    return await new Promise((resolve) => {
      const finish = (isConfirmed: boolean) => {
        clearTimeout(timer);
        this.#waiting.delete(check);
        resolve(isConfirmed);
      };
      const check = (isPossible: boolean) => {
        if (!isPossible) {
          finish(false);
        } else if (this.#haveAllRepliedSince(calledAt)) {
          finish(true);
        }
      };
      const timer = setTimeout(finish, CONFIRM_TIMEOUT, false);
      this.#waiting.add(check);
    });
  }

  #haveAllRepliedSince(time: Milliseconds): boolean {
    for (const { currentAt } of this.#options.links()) {
      if (currentAt < time) {
        return false;
      }
    }
    return true;
  }

  #scheduleExchange(now: Milliseconds): void {
    const { clock, pause, exchangeWithAll } = this.#options;
    this.#timer ??= setTimeout(() => {
      this.#timer = undefined;
      this.#exchangedAt = clock.steady();
      exchangeWithAll();
    }, Math.max(0, this.#exchangedAt + pause() - now));
  }
}
