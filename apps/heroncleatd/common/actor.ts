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

/**
 * A nact actor with a bounded mailbox. Its state lives in the object that
 * handles its messages, so a message that throws is logged and the actor goes
 * on with the next one.
 */
export class Actor<Message> {
  readonly #reference: Ref<Message>;
  readonly #limit: number;
  #waiting = 0;
  #stopped = false;

  constructor(parent: Ref<never>, options: ActorOptions<Message>) {
    this.#limit = options.mailboxLimit ?? DEFAULT_MAILBOX_LIMIT;
    this.#reference = spawn(
      parent,
      async (state: null, message: Message) => {
        this.#waiting -= 1;
        await options.handle(message);
        return state;
      },
      options.name,
      {
        initialState: null,
        onCrash: (_message, error, context) => {
          options.log.error("A message failed", {
            actor: options.name,
            error: String(error?.stack ?? error),
          });
          return context.resume;
        },
      },
    );
  }

  /** Sends a message; false means that it was refused. */
  tell(message: Message): boolean {
    if (this.#stopped || this.#waiting >= this.#limit) {
      return false;
    }
    this.#waiting += 1;
    dispatch(this.#reference, message);
    return true;
  }

  stop(): void {
    if (!this.#stopped) {
      this.#stopped = true;
      stop(this.#reference);
    }
  }
}
