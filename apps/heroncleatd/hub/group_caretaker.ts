import type { Clock, Milliseconds } from "@heroncleat/base";
import { planMembers, type Replica, ReplicaRole } from "@heroncleat/consensus";
import type { JoinReply, ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";

const INTERVAL: Milliseconds = 300;
const ASK_TIMEOUT: Milliseconds = 700;
/** Entries a learner may lack and still count as caught up. */
const CAUGHT_UP_DISTANCE = 5;
/** Silence after which a voter may be displaced by a learner. */
const SILENT_AFTER: Milliseconds = 3000;

/** What the caretaker is built from. */
type CaretakerOptions = {
  readonly self: ReplicaMember;
  readonly replica: Replica;
  readonly clock: Clock;
  readonly pool: PeerPool;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Replicas that are to vote. */
  readonly wantedVoters: number;
  /** Peer addresses that may be up. */
  readonly seeds: () => readonly string[];
  readonly changeMembers: (members: readonly ReplicaMember[]) => void;
  /** Told of the members that another replica knows. */
  readonly onMembers: (members: readonly ReplicaMember[]) => void;
};

/**
 * Keeps the group whole: a replica that no leader speaks to asks to be taken
 * in; a leader takes learners in and lets them displace lost voters.
 */
export class GroupCaretaker {
  readonly #options: CaretakerOptions;
  /** Names of the voters that the leader doesn't hear. */
  #unheard = "";
  #timer: NodeJS.Timeout | undefined;

  constructor(options: CaretakerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.#look(), INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Takes a replica in as a learner; true once it is a member. */
  addLearner(member: ReplicaMember): boolean {
    const { replica, log } = this.#options;
    if (replica.role !== ReplicaRole.leader) {
      return false;
    }
    if (replica.members.some((known) => known.id === member.id)) {
      return true;
    }
    log.info(`Takes in ${member.name} as a learner`, {
      address: member.address,
    });
    this.#options.changeMembers([
      ...replica.members,
      { ...member, voter: false },
    ]);
    return false;
  }

  #look(): void {
    const { replica } = this.#options;
    this.#report();
    if (replica.role === ReplicaRole.leader) {
      this.#repair();
    } else if (replica.leader === "" || !this.#isMember()) {
      this.#askToJoin();
    }
  }

  /**
   * Says how many voters are short: a group that runs on with some gone serves
   * as before until it loses one more, which then is too late to learn of it.
   */
  #report(): void {
    const { replica, metrics, log } = this.#options;
    const isLeading = replica.role === ReplicaRole.leader;
    const voters = replica.members.filter(({ voter }) => voter);
    const unheard = isLeading
      ? voters.filter(({ id }) => this.#isLost(id))
      : [];
    metrics.gauge("group.leads", isLeading ? 1 : 0);
    metrics.gauge("group.voters", voters.length);
    metrics.gauge("group.learners", replica.members.length - voters.length);
    metrics.gauge("group.voters_unheard", unheard.length);
    const names = unheard.map(({ name }) => name).join(", ");
    if (names !== this.#unheard) {
      this.#unheard = names;
      log.warn("Voters are out of reach", {
        unheard: names === "" ? "none" : names,
        voters: voters.length,
      });
    }
  }

  #isLost(id: string): boolean {
    const { replica, clock, self } = this.#options;
    return id !== self.id &&
      clock.now() - replica.heardAtOf(id) > SILENT_AFTER;
  }

  /**
   * A replica whose disk was lost hears the leader, which still writes to the
   * identity that had this address before; it is no member for that.
   */
  #isMember(): boolean {
    const { replica, self } = this.#options;
    return replica.members.some((member) => member.id === self.id);
  }

  #repair(): void {
    const { replica, log, self, wantedVoters } = this.#options;
    const enough = replica.commitIndex - CAUGHT_UP_DISTANCE;
    const next = planMembers(replica.members, {
      self: self.id,
      wantedVoters,
      hasCaughtUp: (id) => {
        const match = replica.matchIndexOf(id);
        return match > 0 && match >= enough;
      },
      isLost: (id) => this.#isLost(id),
    });
    if (next !== undefined) {
      log.info("Changes the members of the group", {
        members: next.map((member) =>
          `${member.name}${member.voter ? "" : " (learner)"}`
        ).join(", "),
      });
      this.#options.changeMembers(next);
    }
  }

  #askToJoin(): void {
    const { self, seeds, replica } = this.#options;
    const known = replica.members.map((member) => member.address);
    for (const address of new Set([...seeds(), ...known])) {
      if (address !== self.address) {
        this.#ask(address);
      }
    }
  }

  /**
   * Asks one replica for its members, too: a leader that took its place after
   * the group was formed can't be answered by a replica that knows only the
   * founders, which so never caught up (a replica whose disk was lost while
   * such a one led stayed a learner for 11 s, to the end of a played day).
   */
  #ask(address: string): void {
    const { self, pool, onMembers } = this.#options;
    const options = { parameters: { member: self }, timeout: ASK_TIMEOUT };
    // One that doesn't answer is asked again at the next look.
    pool.call(address, "group.add_learner", options).catch(() => false);
    pool.call(address, "control.join", options)
      .then((reply) => onMembers((reply as JoinReply).members))
      .catch(() => undefined);
  }
}
