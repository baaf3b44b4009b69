import type { Clock, Milliseconds } from "@heroncleat/base";
import type { ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";

/** Slightly less than the second for which callers of the control role wait. */
const CALL_TIMEOUT: Milliseconds = 950;
/** Leaves enough time for a replica to reach a quorum. */
const ATTEMPT_TIMEOUT: Milliseconds = 700;
/** With less time left, no further attempt is made. */
const MIN_ATTEMPT_TIMEOUT: Milliseconds = 20;
/** Time after a failure during which a replica is tried last. */
const FAILURE_COOLDOWN: Milliseconds = 2000;

type CallOptions = {
  readonly pool: Pick<PeerPool, "call">;
  readonly clock: Pick<Clock, "steady">;
  /** Zone whose replicas are tried first. */
  readonly zone: string;
  readonly replicas: () => readonly ReplicaMember[];
};

/** A reply and the host:port of the replica that sent it. */
type ReplicaReply<Reply> = { readonly reply: Reply; readonly from: string };

/** Calls replicas one after the other until one of them gives a final reply. */
export class ReplicaCalls {
  readonly #options: CallOptions;
  readonly #failedAt = new Map<string, Milliseconds>();

  constructor(options: CallOptions) {
    this.#options = options;
  }

  /**
   * @param isFinal Whether a reply ends the search.
   * @returns The final reply, or else the last one received; undefined if no
   *     replica replied in time.
   */
  async call<Reply>(
    method: string,
    parameters: unknown,
    isFinal: (reply: Reply) => boolean = () => true,
  ): Promise<ReplicaReply<Reply> | undefined> {
    const { pool, clock } = this.#options;
    const deadline = clock.steady() + CALL_TIMEOUT;
    let lastReply: ReplicaReply<Reply> | undefined;
    for (const address of this.#orderAddresses()) {
      const remaining = deadline - clock.steady();
      if (remaining < MIN_ATTEMPT_TIMEOUT) {
        break;
      }
      try {
        const timeout = Math.min(remaining, ATTEMPT_TIMEOUT);
        const reply = await pool.call(address, method, {
          parameters,
          timeout,
        }) as Reply;
        this.#failedAt.delete(address);
        lastReply = { reply, from: address };
        if (isFinal(reply)) {
          return lastReply;
        }
      } catch {
        // Tries the next replica; this one is tried last for a while.
        this.#failedAt.set(address, clock.steady());
      }
    }
    return lastReply;
  }

  /**
   * Replicas without a recent failure come first, and among them those of the
   * same zone.
   */
  #orderAddresses(): string[] {
    const { clock, zone, replicas } = this.#options;
    const now = clock.steady();
    const rank = ({ address, zone: replicaZone }: ReplicaMember) => {
      const failedAt = this.#failedAt.get(address) ?? -Infinity;
      const hasFailedRecently = now - failedAt < FAILURE_COOLDOWN;
      return (hasFailedRecently ? 2 : 0) + (replicaZone === zone ? 0 : 1);
    };
    return [...replicas()]
      .sort((left, right) => rank(left) - rank(right))
      .map(({ address }) => address);
  }
}
