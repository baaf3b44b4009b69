import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  faultTolerance,
  type FaultToleranceTarget,
  type GroupState,
  planMembershipChange,
  type Replica,
  ReplicaRole,
} from "@heroncleat/consensus";
import {
  checkJoinRequest,
  type JoinReply,
  type ReplicaMember,
} from "@heroncleat/schema";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { GroupWatch } from "./group_watch.ts";
import type { MemberDirectory } from "./member_directory.ts";

/** Pause between two looks at the group; a displacement takes two steps. */
const LOOK_INTERVAL: Milliseconds = 100;
/** Pause between two rounds of asking to be taken in. */
const ASK_INTERVAL: Milliseconds = 300;
const ASK_TIMEOUT: Milliseconds = 700;
/** Entries a learner may lack and still count as caught up. */
const CAUGHT_UP_DISTANCE = 5;
/**
 * Silence after which a member may be replaced. A leader that is gone for good
 * is noticed an election later.
 */
const SILENT_AFTER: Milliseconds = 2000;
/** Silence after which a learner isn't fit to take a voter's place. */
const UNFIT_AFTER: Milliseconds = 600;

/** What the reconciler is built from. */
type ReconcilerOptions = {
  readonly self: ReplicaMember;
  readonly replica: Replica;
  readonly directory: MemberDirectory;
  readonly clock: Clock;
  readonly pool: PeerPool;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Losses that the group is to bear. */
  readonly promised: FaultToleranceTarget;
  /** Region of an availability zone. */
  readonly regionOf: (zone: string) => string;
  /** Peer addresses that may be up. */
  readonly seeds: () => readonly string[];
  readonly changeMembers: (members: readonly ReplicaMember[]) => void;
  /** Before the names of methods between the replicas of this group. */
  readonly methodPrefix: string;
};

/**
 * Keeps the group whole: a replica that no leader speaks to asks to be taken
 * in; a leader takes learners in and lets them displace lost voters.
 */
export class GroupReconciler {
  readonly #options: ReconcilerOptions;
  readonly #watch: GroupWatch;
  readonly #wantedVoters: number;
  #timers: readonly NodeJS.Timeout[] = [];

  constructor(options: ReconcilerOptions) {
    this.#options = options;
    const { machines, zones } = options.promised;
    // Voters stand in different zones where they can, so a zone takes one.
    this.#wantedVoters = faultTolerance.voters(Math.max(machines, zones));
    this.#watch = new GroupWatch({
      ...options,
      silentVoters: () => this.#silentVoters(),
      hasCaughtUp: (id) => this.#hasCaughtUp(id),
    });
  }

  /** How the group stands, as this replica knows it. */
  get state(): GroupState {
    return this.#watch.state;
  }

  start(): void {
    this.#timers = [
      setInterval(() => this.#look(), LOOK_INTERVAL),
      setInterval(() => this.#askIfAlone(), ASK_INTERVAL),
    ];
  }

  stop(): void {
    for (const timer of this.#timers) {
      clearInterval(timer);
    }
  }

  /** What other replicas may ask of this one. */
  methods(): Record<string, MethodHandler> {
    const { methodPrefix } = this.#options;
    const handle =
      (take: (member: ReplicaMember) => unknown): MethodHandler =>
      (parameters) => checkJoinRequest(parameters) && take(parameters.member);
    return {
      [`${methodPrefix}.add_learner`]: handle((member) =>
        this.#isLeading ? this.#takeIn(member) : this.#passOn(member)
      ),
      [`${methodPrefix}.take_in`]: handle((member) =>
        this.#isLeading && this.#takeIn(member)
      ),
    };
  }

  get #isLeading(): boolean {
    return this.#options.replica.role === ReplicaRole.leader;
  }

  /** Takes a replica in as a learner; true once it is a member. */
  #takeIn(member: ReplicaMember): boolean {
    const { replica, log, changeMembers } = this.#options;
    const known = replica.members.find(({ id }) => id === member.id);
    if (known?.address === member.address) {
      return true;
    }
    if (known !== undefined) {
      log.info(`Finds ${member.name} at another address`, {
        address: member.address,
      });
      changeMembers(
        replica.members.map((each) =>
          each === known ? { ...member, voter: known.voter } : each
        ),
      );
      return false;
    }
    log.info(`Takes in ${member.name} as a learner`, {
      address: member.address,
    });
    changeMembers([...replica.members, { ...member, voter: false }]);
    return false;
  }

  /**
   * Passes on to the leader, once, what it is asked: one that asks may know
   * this replica only, and the leader's place may be neither a founder's nor a
   * seed's. Without it such a replica was never taken in.
   */
  async #passOn(member: ReplicaMember): Promise<boolean> {
    const { replica, directory, pool, methodPrefix } = this.#options;
    const leader = directory.find(replica.leader);
    if (leader === undefined) {
      return false;
    }
    const reply = await pool.call(leader.address, `${methodPrefix}.take_in`, {
      parameters: { member },
      timeout: ASK_TIMEOUT,
    });
    return reply === true;
  }

  #look(): void {
    this.#watch.look();
    if (this.#isLeading) {
      this.#repair();
    }
  }

  #askIfAlone(): void {
    const hasLeader = this.#isLeading || this.#options.replica.leader !== "";
    if (!hasLeader || !this.#isMember()) {
      this.#askToJoin();
    }
  }

  #silentVoters(): ReplicaMember[] {
    return this.#isLeading
      ? this.#options.replica.members.filter(({ id, voter }) =>
        voter && this.#isSilent(id, SILENT_AFTER)
      )
      : [];
  }

  /** Whether this leader heard nothing of a member for longer than this. */
  #isSilent(id: string, limit: Milliseconds): boolean {
    const { replica, clock, self } = this.#options;
    return id !== self.id && clock.now() - replica.lastContactAt(id) > limit;
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
    const { replica, log, self } = this.#options;
    const next = planMembershipChange(replica.members, {
      self: self.id,
      wantedVoters: this.#wantedVoters,
      hasCaughtUp: (id) => this.#hasCaughtUp(id),
      isLost: (id) => this.#isSilent(id, SILENT_AFTER),
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

  /** Whether a learner is fit to vote: it answers and holds nearly all. */
  #hasCaughtUp(id: string): boolean {
    const { replica } = this.#options;
    const match = replica.matchIndexOf(id);
    const isFit = !this.#isSilent(id, UNFIT_AFTER);
    const enough = replica.commitIndex - CAUGHT_UP_DISTANCE;
    return isFit && match > 0 && match >= enough;
  }

  #askToJoin(): void {
    const { self, seeds, directory } = this.#options;
    for (const address of new Set([...seeds(), ...directory.addresses])) {
      if (address !== self.address) {
        this.#ask(address);
      }
    }
  }

  /**
   * Asks one replica for its members, too: any of them may lead, and this one
   * can neither ask nor answer a leader whose address it doesn't know.
   */
  #ask(address: string): void {
    const { self, pool, directory, methodPrefix } = this.#options;
    const options = { parameters: { member: self }, timeout: ASK_TIMEOUT };
    // One that doesn't answer is asked again at the next look.
    pool.call(address, `${methodPrefix}.add_learner`, options)
      .catch(() => false);
    pool.call(address, "control.join", options)
      .then((reply) => directory.learn((reply as JoinReply).members))
      .catch(() => undefined);
  }
}
