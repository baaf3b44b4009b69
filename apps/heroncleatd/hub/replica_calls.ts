import type { Clock, Milliseconds } from "@heroncleat/base";
import type { ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";

/** Callers of the control role wait for a second. */
const CALL_TIME: Milliseconds = 950;
/** A replica that answers takes some ms, or up to this to reach a quorum. */
const ATTEMPT_TIMEOUT: Milliseconds = 700;
/** Less time than this is none for another attempt. */
const LEAST_TIMEOUT: Milliseconds = 20;
/** Time for which a replica that failed is asked last. */
const AVOIDED_FOR: Milliseconds = 2000;

/** What the calls are made with. */
type CallOptions = {
  readonly pool: Pick<PeerPool, "call">;
  readonly clock: Pick<Clock, "steady">;
  /** Zone whose replicas are asked first. */
  readonly zone: string;
  readonly replicas: () => readonly ReplicaMember[];
};

/** A reply and the replica that gave it, as host:port. */
type ReplicaReply<Reply> = { readonly reply: Reply; readonly from: string };

/** Calls one replica after the other until one takes the call. */
export class ReplicaCalls {
  readonly #options: CallOptions;
  readonly #failedAt = new Map<string, Milliseconds>();

  constructor(options: CallOptions) {
    this.#options = options;
  }

  /**
   * @param isTaken Whether a reply ends the search.
   * @returns undefined where none took the call in time.
   */
  async call<Reply>(
    method: string,
    parameters: unknown,
    isTaken: (reply: Reply) => boolean = () => true,
  ): Promise<ReplicaReply<Reply> | undefined> {
    const { pool, clock } = this.#options;
    const until = clock.steady() + CALL_TIME;
    let last: ReplicaReply<Reply> | undefined;
    for (const address of this.#order()) {
      const left = until - clock.steady();
      if (left < LEAST_TIMEOUT) {
        break;
      }
      try {
        const timeout = Math.min(left, ATTEMPT_TIMEOUT);
        const reply = await pool.call(address, method, {
          parameters,
          timeout,
        }) as Reply;
        this.#failedAt.delete(address);
        last = { reply, from: address };
        if (isTaken(reply)) {
          return last;
        }
      } catch {
        // The next one is asked; who failed comes last for a while.
        this.#failedAt.set(address, clock.steady());
      }
    }
    return last;
  }

  /** Sound ones first, among them those of the own zone. */
  #order(): string[] {
    const { clock, zone, replicas } = this.#options;
    const now = clock.steady();
    const rank = ({ address, zone: place }: ReplicaMember) => {
      const failedAt = this.#failedAt.get(address) ?? -Infinity;
      const isAvoided = now - failedAt < AVOIDED_FOR;
      return (isAvoided ? 2 : 0) + (place === zone ? 0 : 1);
    };
    return [...replicas()]
      .sort((left, right) => rank(left) - rank(right))
      .map(({ address }) => address);
  }
}
