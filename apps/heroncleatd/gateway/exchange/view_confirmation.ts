import type { Clock, Milliseconds } from "@heroncleat/base";
import type { ControlLink } from "./control_link.ts";

/** Longest wait for the replies that confirm an entry's view. */
const CONFIRM_TIMEOUT: Milliseconds = 150;

type ConfirmationOptions = {
  readonly clock: Pick<Clock, "steady">;
  readonly links: () => Iterable<ControlLink>;
  /** Whether nothing shows that this entry may be out of date. */
  readonly mayBeCurrent: () => boolean;
  /** Exchanges with all replicas now, or after the exchange in flight. */
  readonly exchangeWithAll: () => void;
  /** Time between two such exchanges, at least. */
  readonly pause: () => Milliseconds;
};

/**
 * Finds out whether an entry has heard of all that the control replicas knew at
 * a moment, by replies to requests that are sent after it. Callers that wait at
 * the same time share the exchanges.
 */
export class ViewConfirmation {
  readonly #options: ConfirmationOptions;
  /** Called after each exchange. */
  readonly #waiting = new Set<() => void>();
  #exchangedAt: Milliseconds = -Infinity;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: ConfirmationOptions) {
    this.#options = options;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  /** Called after each reply, and after each failed exchange. */
  recordExchange(): void {
    for (const check of this.#waiting) {
      check();
    }
  }

  async confirm(): Promise<boolean> {
    const { clock, mayBeCurrent } = this.#options;
    if (!mayBeCurrent()) {
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
      const check = () => {
        if (!mayBeCurrent()) {
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
