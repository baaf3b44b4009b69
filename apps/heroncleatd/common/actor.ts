import { dispatch, type Ref, spawn, stop } from "nact";
import type { Log } from "./log.ts";

type ActorOptions<Message> = {
  readonly name: string;
  readonly handle: (message: Message) => void | Promise<void>;
  readonly log: Log;
  /** Maximum number of queued messages; further ones are rejected. */
  readonly mailboxLimit?: number;
};

const DEFAULT_MAILBOX_LIMIT = 100_000;
const DRAIN = "drain";

/**
 * A nact actor with its own bounded mailbox. nact processes one message per turn
 * of the event loop, so one of its messages drains the whole queue here. An error
 * of the handler is logged.
 */
export class Actor<Message> {
  readonly #options: ActorOptions<Message>;
  readonly #reference: Ref<typeof DRAIN>;
  readonly #mailboxLimit: number;
  #mailbox: Message[] = [];
  #isDraining = false;
  #isStopped = false;

  constructor(parent: Ref<never>, options: ActorOptions<Message>) {
    this.#options = options;
    this.#mailboxLimit = options.mailboxLimit ?? DEFAULT_MAILBOX_LIMIT;
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

  /**
   * Queues a message. Returns false if it was rejected because the mailbox is
   * full or the actor has stopped.
   */
  send(message: Message): boolean {
    if (this.#isStopped || this.#mailbox.length >= this.#mailboxLimit) {
      return false;
    }
    this.#mailbox.push(message);
    this.#schedule();
    return true;
  }

  stop(): void {
    if (!this.#isStopped) {
      this.#isStopped = true;
      stop(this.#reference);
    }
  }

  #schedule(): void {
    if (!this.#isDraining) {
      this.#isDraining = true;
      dispatch(this.#reference, DRAIN);
    }
  }

  async #drain(): Promise<void> {
    const messages = this.#mailbox;
    this.#mailbox = [];
    for (const message of messages) {
      if (this.#isStopped) {
        return;
      }
      await this.#handle(message);
    }
    this.#isDraining = false;
    if (this.#mailbox.length > 0 && !this.#isStopped) {
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
    this.#options.log.error("Handling a message failed", {
      actor: this.#options.name,
      error: String(error?.stack ?? error),
    });
  }
}
