import type { Milliseconds } from "@heroncleat/base";
import type { PeerPool } from "@heroncleat/transport";

/** Reply of a replica that can't serve a call because it isn't the leader. */
type Redirect = { readonly kind: "not_leader"; readonly leader: string };

/** No replica served the call in time. */
type Unavailable = {
  readonly kind: "unavailable";
  /** Whether a replica may have processed the call. */
  readonly sent: boolean;
};

const MIN_ATTEMPT_MS = 50;

function isRedirect(reply: { readonly kind: string }): reply is Redirect {
  return reply.kind === "not_leader";
}

/**
 * Calls the control group. Starts with the replica that replied last, follows
 * redirects to the leader, and otherwise tries the replicas in turn.
 */
export class ControlClient {
  readonly #addresses: readonly string[];
  readonly #pool: PeerPool;
  readonly #now: () => Milliseconds;
  #preferred: string;
  #nextAddress = 0;

  constructor(
    addresses: readonly string[],
    options: { pool: PeerPool; now: () => Milliseconds },
  ) {
    this.#addresses = addresses;
    this.#pool = options.pool;
    this.#now = options.now;
    this.#preferred = addresses[0] ?? "";
  }

  /**
   * Retries until a replica serves the call or the timeout expires. Every
   * method is safe to repeat, because commands carry identifiers.
   */
  async call<Reply extends { readonly kind: string }>(
    method: string,
    options: { parameters: unknown; timeout: Milliseconds },
  ): Promise<Exclude<Reply, Redirect> | Unavailable> {
    const deadline = this.#now() + options.timeout;
    let wasSent = false;
    while (true) {
      const remaining = deadline - this.#now();
      if (remaining <= 0) {
        return { kind: "unavailable", sent: wasSent };
      }
      const reply = await this.#tryOne<Reply>(method, {
        parameters: options.parameters,
        timeout: Math.max(
          MIN_ATTEMPT_MS,
          Math.min(remaining, options.timeout / 2),
        ),
      });
      if (reply !== undefined && !isRedirect(reply)) {
        return reply as Exclude<Reply, Redirect>;
      }
      wasSent ||= reply === undefined;
      this.#redirect(reply);
      if (reply === undefined || reply.leader === "") {
        await new Promise((resolve) => setTimeout(resolve, MIN_ATTEMPT_MS));
      }
    }
  }

  async #tryOne<Reply>(
    method: string,
    options: { parameters: unknown; timeout: Milliseconds },
  ): Promise<Reply | undefined> {
    try {
      return await this.#pool.call(
        this.#preferred,
        method,
        options,
      ) as Reply;
    } catch {
      return undefined;
    }
  }

  #redirect(reply: Redirect | undefined): void {
    if (reply !== undefined && reply.leader !== "") {
      this.#preferred = reply.leader;
      return;
    }
    this.#nextAddress += 1;
    this.#preferred = this
      .#addresses[this.#nextAddress % this.#addresses.length]!;
  }
}
