import type { Milliseconds } from "@heroncleat/base";
import type { PeerPool } from "@heroncleat/transport";

/** What a replica answers when it can't serve a call itself. */
type Redirect = { readonly kind: "not_leader"; readonly leader: string };

/** A call that no replica could serve in time. */
type Unavailable = {
  readonly kind: "unavailable";
  /** Whether some replica may have acted on the call. */
  readonly sent: boolean;
};

const LEAST_ATTEMPT = 50;

function isRedirect(reply: { readonly kind: string }): reply is Redirect {
  return reply.kind === "not_leader";
}

/**
 * Calls the control group: the replica that answered last, then the others,
 * following redirects to the leader.
 */
export class ControlClient {
  readonly #addresses: readonly string[];
  readonly #pool: PeerPool;
  readonly #now: () => Milliseconds;
  #preferred: string;
  #turn = 0;

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
   * Calls until a replica serves the call or the time is up. Every method is
   * safe to repeat: commands carry identifiers.
   */
  async call<Reply extends { readonly kind: string }>(
    method: string,
    options: { parameters: unknown; timeout: Milliseconds },
  ): Promise<Exclude<Reply, Redirect> | Unavailable> {
    const until = this.#now() + options.timeout;
    let sent = false;
    while (true) {
      const left = until - this.#now();
      if (left <= 0) {
        return { kind: "unavailable", sent };
      }
      const reply = await this.#tryOne<Reply>(method, {
        parameters: options.parameters,
        timeout: Math.max(LEAST_ATTEMPT, Math.min(left, options.timeout / 2)),
      });
      if (reply !== undefined && !isRedirect(reply)) {
        return reply as Exclude<Reply, Redirect>;
      }
      sent ||= reply === undefined;
      this.#redirect(reply);
      if (reply === undefined || reply.leader === "") {
        await new Promise((resolve) => setTimeout(resolve, LEAST_ATTEMPT));
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
    this.#turn += 1;
    this.#preferred = this.#addresses[this.#turn % this.#addresses.length]!;
  }
}
