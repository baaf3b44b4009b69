import { createToken, type Milliseconds } from "@heroncleat/base";
import { planMembers, type Replica, ReplicaRole } from "@heroncleat/consensus";
import type { ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import type { Actor } from "../common/actor.ts";
import type { Log } from "../common/log.ts";
import type { ReplicaAccess } from "./replica_access.ts";
import type { ReplicaMessage } from "./replica_message.ts";

/** What the caretaker is built from. */
type CaretakerOptions = {
  readonly self: ReplicaMember;
  /** Whether this replica's identity was among the founders. */
  readonly isFounder: boolean;
  readonly peers: readonly string[];
  readonly replica: ReplicaAccess;
  readonly actor: Actor<ReplicaMessage>;
  readonly pool: PeerPool;
  readonly log: Log;
  readonly claimRetention: Milliseconds;
};

const INTERVAL = 500;
const EXPIRE_INTERVAL = 60_000;
const ASK_TIMEOUT = 2000;
/** Entries a learner may lack and still count as caught up. */
const CAUGHT_UP_DISTANCE = 5;

/**
 * Repairs the group: asks to be added after a lost disk, and on the leader
 * takes learners in one step at a time; lets old claims be forgotten.
 */
export class ReplicaCaretaker {
  readonly #options: CaretakerOptions;
  readonly #timers: NodeJS.Timeout[] = [];
  #asked = false;

  constructor(options: CaretakerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timers.push(
      setInterval(() => void this.#look(), INTERVAL),
      setInterval(() => void this.#expireClaims(), EXPIRE_INTERVAL),
    );
  }

  stop(): void {
    for (const timer of this.#timers) {
      clearInterval(timer);
    }
  }

  /** Takes a replica in as a learner; true once it is a member. */
  async addLearner(member: ReplicaMember): Promise<boolean> {
    const members = await this.#options.replica.inspect((_, replica) =>
      replica.role === ReplicaRole.leader ? replica.members : undefined
    );
    if (members === undefined) {
      return false;
    }
    if (members.some((known) => known.id === member.id)) {
      return true;
    }
    this.#options.log.info(`Takes in ${member.name} as a learner`);
    this.#changeMembers([...members, { ...member, voter: false }]);
    return false;
  }

  async #look(): Promise<void> {
    await this.#askToJoin();
    const next = await this.#options.replica.inspect((_, replica) =>
      replica.role === ReplicaRole.leader ? this.#plan(replica) : undefined
    );
    if (next !== undefined) {
      this.#changeMembers(next);
    }
  }

  #plan(replica: Replica): ReplicaMember[] | undefined {
    const { self, peers } = this.#options;
    const enough = replica.commitIndex - CAUGHT_UP_DISTANCE;
    return planMembers(replica.members, {
      self: self.id,
      wantedVoters: peers.length + 1,
      hasCaughtUp: (id) =>
        replica.matchIndexOf(id) > 0 && replica.matchIndexOf(id) >= enough,
      isLost: () => false,
    });
  }

  /** Only an identity that was never a member asks to become one. */
  async #askToJoin(): Promise<void> {
    const { self, isFounder, peers, pool } = this.#options;
    if (isFounder || this.#asked) {
      return;
    }
    const known = await this.#options.replica.inspect((_, replica) =>
      replica.members.some((member) => member.id === self.id)
    );
    if (known) {
      this.#asked = true;
      return;
    }
    for (const address of peers) {
      await pool.call(address, "control.add_learner", {
        parameters: { member: self },
        timeout: ASK_TIMEOUT,
      }).catch(() => false);
    }
  }

  #changeMembers(members: readonly ReplicaMember[]): void {
    this.#options.actor.tell({
      kind: "event",
      event: { kind: "change_members", token: createToken(), members },
    });
  }

  async #expireClaims(): Promise<void> {
    const leads = await this.#options.replica.inspect((_, replica) =>
      replica.role === ReplicaRole.leader
    );
    if (leads) {
      const retention = this.#options.claimRetention;
      await this.#options.replica.propose(
        { kind: "expire", at: Date.now(), retention },
        ASK_TIMEOUT,
      );
    }
  }
}
