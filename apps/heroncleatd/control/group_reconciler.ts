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
import { GroupMonitor } from "./group_monitor.ts";
import { logLimits } from "./log_limits.ts";
import type { MemberDirectory } from "./member_directory.ts";

/** Replacing a voter takes two rounds of reconciliation. */
const RECONCILE_INTERVAL: Milliseconds = 100;
const JOIN_INTERVAL: Milliseconds = 300;
const JOIN_TIMEOUT: Milliseconds = 700;
/** Entries that a member may lack and still count as caught up. */
const MAX_LAG_ENTRIES = 5;
/**
 * Time without a response after which a member may be replaced. For a lost
 * leader, it starts after the election of the next one.
 */
const MEMBER_TIMEOUT: Milliseconds = 2000;
/** Time without a response after which a learner can't replace a voter. */
const LEARNER_TIMEOUT: Milliseconds = 600;

type ReconcilerOptions = {
  readonly self: ReplicaMember;
  readonly replica: Replica;
  readonly directory: MemberDirectory;
  readonly clock: Clock;
  readonly pool: PeerPool;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Simultaneous losses that the group must tolerate. */
  readonly promised: FaultToleranceTarget;
  readonly regionOf: (zone: string) => string;
  /** Peer addresses at which replicas of the group may run. */
  readonly seeds: () => readonly string[];
  readonly changeMembers: (members: readonly ReplicaMember[]) => void;
  /** Prefix of the RPC methods between the replicas of this group. */
  readonly methodPrefix: string;
};

/**
 * Keeps the membership of the group complete. A replica that has no leader, or
 * isn't a member, asks to join. The leader adds it as a learner and promotes
 * learners in place of lost voters.
 */
export class GroupReconciler {
  readonly #options: ReconcilerOptions;
  readonly #monitor: GroupMonitor;
  readonly #targetVoterCount: number;
  #timers: readonly NodeJS.Timeout[] = [];

  constructor(options: ReconcilerOptions) {
    this.#options = options;
    const { machines, zones } = options.promised;
    // Voters are spread over zones where possible; a lost zone loses one voter.
    this.#targetVoterCount = faultTolerance.voters(Math.max(machines, zones));
    this.#monitor = new GroupMonitor({
      ...options,
      unresponsiveVoters: () => this.#unresponsiveVoters(),
      hasCaughtUp: (id) => this.#hasCaughtUp(id),
    });
  }

  /** The group as this replica sees it; it may lag behind the leader's view. */
  get state(): GroupState {
    return this.#monitor.state;
  }

  start(): void {
    this.#timers = [
      setInterval(() => this.#reconcile(), RECONCILE_INTERVAL),
      setInterval(() => this.#joinIfNeeded(), JOIN_INTERVAL),
    ];
  }

  stop(): void {
    for (const timer of this.#timers) {
      clearInterval(timer);
    }
  }

  /** Methods that other replicas call to join the group. */
  methods(): Record<string, MethodHandler> {
    const { methodPrefix } = this.#options;
    const handle =
      (accept: (member: ReplicaMember) => unknown): MethodHandler =>
      (parameters) => checkJoinRequest(parameters) && accept(parameters.member);
    return {
      [`${methodPrefix}.add_learner`]: handle((member) =>
        this.#isLeading
          ? this.#addLearner(member)
          : this.#forwardToLeader(member)
      ),
      [`${methodPrefix}.take_in`]: handle((member) =>
        this.#isLeading && this.#addLearner(member)
      ),
    };
  }

  get #isLeading(): boolean {
    return this.#options.replica.role === ReplicaRole.leader;
  }

  /** Adds a replica as a learner. Returns whether it already is a member. */
  #addLearner(member: ReplicaMember): boolean {
    const { replica, log, changeMembers } = this.#options;
    const known = replica.members.find(({ id }) => id === member.id);
    if (known?.address === member.address) {
      return true;
    }
    if (known !== undefined) {
      log.info(`The address of member ${member.name} changed`, {
        address: member.address,
      });
      changeMembers(
        replica.members.map((each) =>
          each === known ? { ...member, voter: known.voter } : each
        ),
      );
      return false;
    }
    log.info(`Adding ${member.name} as a learner`, {
      address: member.address,
    });
    changeMembers([...replica.members, { ...member, voter: false }]);
    return false;
  }

  /**
   * Forwards a join request to the leader, whose address the joining replica
   * may not know. The leader's method doesn't forward again, so requests can't
   * loop.
   */
  async #forwardToLeader(member: ReplicaMember): Promise<boolean> {
    const { replica, directory, pool, methodPrefix } = this.#options;
    const leader = directory.find(replica.leader);
    if (leader === undefined) {
      return false;
    }
    const reply = await pool.call(leader.address, `${methodPrefix}.take_in`, {
      parameters: { member },
      timeout: JOIN_TIMEOUT,
    });
    return reply === true;
  }

  #reconcile(): void {
    this.#monitor.update();
    if (this.#isLeading) {
      this.#repairMembership();
    }
  }

  #joinIfNeeded(): void {
    const hasLeader = this.#isLeading || this.#options.replica.leader !== "";
    if (!hasLeader || !this.#isMember()) {
      this.#requestJoin();
    }
  }

  #unresponsiveVoters(): ReplicaMember[] {
    return this.#isLeading
      ? this.#options.replica.members.filter(({ id, voter }) =>
        voter && this.#isUnresponsive(id, MEMBER_TIMEOUT)
      )
      : [];
  }

  /** Whether this leader has had no response from a member for a time. */
  #isUnresponsive(id: string, timeout: Milliseconds): boolean {
    const { replica, clock, self } = this.#options;
    return id !== self.id && clock.now() - replica.lastContactAt(id) > timeout;
  }

  /**
   * Having a leader doesn't imply membership: after a lost disk, the leader
   * still sends to the earlier identity at this address.
   */
  #isMember(): boolean {
    const { replica, self } = this.#options;
    return replica.members.some((member) => member.id === self.id);
  }

  #repairMembership(): void {
    const { replica, log, self } = this.#options;
    const next = planMembershipChange(replica.members, {
      self: self.id,
      wantedVoters: this.#targetVoterCount,
      hasCaughtUp: (id) => this.#hasCaughtUp(id),
      isLost: (id) => this.#isUnresponsive(id, MEMBER_TIMEOUT),
    });
    if (next !== undefined) {
      log.info("Changing the members of the group", {
        members: next.map((member) =>
          `${member.name}${member.voter ? "" : " (learner)"}`
        ).join(", "),
      });
      this.#options.changeMembers(next);
    }
  }

  /** Whether a learner can vote: it responds and has nearly all entries. */
  #hasCaughtUp(id: string): boolean {
    const { replica } = this.#options;
    const { commitIndex } = replica;
    const matchIndex = replica.matchIndexOf(id);
    if (matchIndex === 0 || this.#isUnresponsive(id, LEARNER_TIMEOUT)) {
      return false;
    }
    // The newest entry is on its way to every member, however large it is.
    const missing = replica.bytesBetween(matchIndex + 1, commitIndex - 1);
    return commitIndex - matchIndex <= MAX_LAG_ENTRIES &&
      missing <= logLimits.maxLagBytes;
  }

  #requestJoin(): void {
    const { self, seeds, directory } = this.#options;
    for (const address of new Set([...seeds(), ...directory.addresses])) {
      if (address !== self.address) {
        this.#requestJoinFrom(address);
      }
    }
  }

  /**
   * Sends a join request and also asks the replica for its members. Any of them
   * may be the leader, and this replica can only exchange messages with a
   * leader whose address it knows.
   */
  #requestJoinFrom(address: string): void {
    const { self, pool, directory, methodPrefix } = this.#options;
    const options = { parameters: { member: self }, timeout: JOIN_TIMEOUT };
    // A failed call is repeated in the next round.
    pool.call(address, `${methodPrefix}.add_learner`, options)
      .catch(() => false);
    pool.call(address, "control.join", options)
      .then((reply) => directory.record((reply as JoinReply).members))
      .catch(() => undefined);
  }
}
