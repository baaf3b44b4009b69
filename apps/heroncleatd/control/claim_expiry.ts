import type { Milliseconds } from "@heroncleat/base";
import { ReplicaRole } from "@heroncleat/consensus";
import type { ReplicaAccess } from "./replica_access.ts";

const EXPIRY_INTERVAL: Milliseconds = 60_000;
const PROPOSAL_TIMEOUT: Milliseconds = 2000;

/** Removes claims past their retention while this replica is the leader. */
export class ClaimExpiry {
  readonly #replica: ReplicaAccess;
  readonly #retention: Milliseconds;
  #timer: NodeJS.Timeout | undefined;

  constructor(replica: ReplicaAccess, retention: Milliseconds) {
    this.#replica = replica;
    this.#retention = retention;
  }

  start(): void {
    this.#timer = setInterval(
      () => void this.#proposeExpiry(),
      EXPIRY_INTERVAL,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #proposeExpiry(): Promise<void> {
    const isLeader = await this.#replica.inspect((_, replica) =>
      replica.role === ReplicaRole.leader
    );
    if (isLeader) {
      const retention = this.#retention;
      await this.#replica.propose(
        { kind: "expire", at: Date.now(), retention },
        PROPOSAL_TIMEOUT,
      );
    }
  }
}
