import type { Milliseconds } from "@heroncleat/base";
import { ReplicaRole } from "@heroncleat/consensus";
import type { ReplicaAccess } from "./replica_access.ts";

const INTERVAL: Milliseconds = 60_000;
const TIMEOUT: Milliseconds = 2000;

/** Lets the leader forget claims that are older than they are kept. */
export class ClaimExpiry {
  readonly #replica: ReplicaAccess;
  readonly #retention: Milliseconds;
  #timer: NodeJS.Timeout | undefined;

  constructor(replica: ReplicaAccess, retention: Milliseconds) {
    this.#replica = replica;
    this.#retention = retention;
  }

  start(): void {
    this.#timer = setInterval(() => void this.#expire(), INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #expire(): Promise<void> {
    const leads = await this.#replica.inspect((_, replica) =>
      replica.role === ReplicaRole.leader
    );
    if (leads) {
      const retention = this.#retention;
      await this.#replica.propose(
        { kind: "expire", at: Date.now(), retention },
        TIMEOUT,
      );
    }
  }
}
