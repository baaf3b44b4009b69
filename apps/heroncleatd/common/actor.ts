import { dispatch, type Ref, spawn, stop } from "nact";
import type { Log } from "./log.ts";

/** What an actor is built from. */
type ActorOptions<Message> = {
  readonly name: string;
  readonly handle: (message: Message) => void | Promise<void>;
  readonly log: Log;
  /** Messages that may wait; more are refused. */
  readonly mailboxLimit?: number;
};

const DEFAULT_MAILBOX_LIMIT = 100_000;
const DRAIN = "drain";

/**
 * A nact actor with a bounded mailbox of its own. nact takes one message in
 * each turn of the event loop, which bounds a busy actor to a few thousand a
 * second; so the messages wait here, and one nact message takes all of them.
 * State lives in the object that handles the messages: one that throws is
 * logged, and the actor goes on with the next.
 */
export class Actor<Message> {
  readonly #options: ActorOptions<Message>;
  readonly #reference: Ref<typeof DRAIN>;
  readonly #limit: number;
  #waiting: Message[] = [];
  #draining = false;
  #stopped = false;

  constructor(parent: Ref<never>, options: ActorOptions<Message>) {
    this.#options = options;
    this.#limit = options.mailboxLimit ?? DEFAULT_MAILBOX_LIMIT;
    this.#reference = spawn(
      parent,
      async (state: null) => {
        await this.#drain();
        return state;
      },
      options.name,
      {
        initialState: null,
        onCrash: (_message, error, context) => {
          this.#logFailure(error);
          return context.resume;
        },
      },
    );
  }

  /** Sends a message; false means that it was refused. */
  send(message: Message): boolean {
    if (this.#stopped || this.#waiting.length >= this.#limit) {
      return false;
    }
    this.#waiting.push(message);
    this.#schedule();
    return true;
  }

  stop(): void {
    if (!this.#stopped) {
      this.#stopped = true;
      stop(this.#reference);
    }
  }

  #schedule(): void {
    if (!this.#draining) {
      this.#draining = true;
      dispatch(this.#reference, DRAIN);
    }
  }

  async #drain(): Promise<void> {
    const messages = this.#waiting;
    this.#waiting = [];
    for (const message of messages) {
      if (this.#stopped) {
        return;
      }
      await this.#handle(message);
    }
    this.#draining = false;
    if (this.#waiting.length > 0 && !this.#stopped) {
      this.#schedule();
    }
  }

  async #handle(message: Message): Promise<void> {
    try {
      const pending = this.#options.handle(message);
      if (pending !== undefined) {
        await pending;
      }
    } catch (error) {
      this.#logFailure(error as Error);
    }
  }

  #logFailure(error: Error | undefined): void {
    this.#options.log.error("A message failed", {
      actor: this.#options.name,
      error: String(error?.stack ?? error),
    });
  }
}
