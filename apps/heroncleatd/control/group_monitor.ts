import type { Clock } from "@heroncleat/base";
import {
  describeUnmetFaultTolerance,
  type FaultToleranceTarget,
  type GroupState,
  type Replica,
  ReplicaRole,
} from "@heroncleat/consensus";
import type { ReplicaMember } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { LagMonitor } from "./lag_monitor.ts";

type MonitorOptions = {
  readonly replica: Replica;
  readonly promised: FaultToleranceTarget;
  readonly regionOf: (zone: string) => string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Voters that do not respond to this leader. */
  readonly unresponsiveVoters: () => readonly ReplicaMember[];
  readonly hasCaughtUp: (id: string) => boolean;
};

/**
 * Reports the health of a group in metrics and log lines. A group that lacks
 * voters serves normally until it loses one more, so nothing else shows that it
 * no longer tolerates the losses that the settings promise.
 */
export class GroupMonitor {
  readonly #options: MonitorOptions;
  readonly #lagMonitor: LagMonitor;
  #assessedMembers: readonly ReplicaMember[] = [];
  #assessedLagging: readonly ReplicaMember[] = [];
  #problems: readonly string[] = [];
  #unresponsiveNames = "";

  constructor(options: MonitorOptions) {
    this.#options = options;
    this.#lagMonitor = new LagMonitor(options);
  }

  get state(): GroupState {
    const { replica, promised } = this.#options;
    const { members } = replica;
    const leader = members.find(({ id }) => id === replica.leader);
    return {
      leader: leader?.name ?? "",
      members: [...members],
      promised,
      // The members may have changed since the last update.
      unkept: this.#assess(members),
    };
  }

  /** Updates the metrics and logs changes since the last update. */
  update(): void {
    const { replica, metrics } = this.#options;
    const isLeading = replica.role === ReplicaRole.leader;
    const voters = replica.members.filter(({ voter }) => voter);
    metrics.gauge("group.leads", isLeading ? 1 : 0);
    metrics.gauge("group.voters", voters.length);
    metrics.gauge("group.learners", replica.members.length - voters.length);
    this.#updateLag(isLeading);
    this.#updateProblems();
    this.#updateUnresponsiveVoters(voters.length);
  }

  #updateProblems(): void {
    const { replica, log, metrics } = this.#options;
    const { lagging } = this.#lagMonitor;
    const isAssessed = replica.members === this.#assessedMembers &&
      lagging === this.#assessedLagging;
    if (isAssessed) {
      return;
    }
    this.#assessedMembers = replica.members;
    this.#assessedLagging = lagging;
    const previousProblems = this.#problems.join(" ");
    this.#problems = this.#assess(this.#assessedMembers);
    metrics.gauge("group.unkept_promises", this.#problems.length);
    const problems = this.#problems.join(" ");
    if (problems === previousProblems) {
      return;
    }
    if (problems === "") {
      log.info("The group tolerates the losses that the settings promise");
    } else {
      log.warn(
        "The group does not tolerate the losses that the settings promise",
        {
          problem: problems,
        },
      );
    }
  }

  /** A voter that lacks what was committed doesn't count as a copy of it. */
  #assess(members: readonly ReplicaMember[]): string[] {
    const { promised, regionOf } = this.#options;
    const { lagging } = this.#lagMonitor;
    const isLagging = ({ id }: ReplicaMember) =>
      lagging.some((member) => member.id === id);
    const current = members.filter((member) => !isLagging(member));
    const problems = describeUnmetFaultTolerance(current, promised, regionOf);
    const behind = members.filter((each) => each.voter && isLagging(each));
    if (problems.length === 0 || behind.length === 0) {
      return problems;
    }
    const names = namesOf(behind);
    return [
      `${names} can't be counted: entries of the log or replies are missing. ` +
      "Remedy: look at the disk, the links and the log there.",
      ...problems,
    ];
  }

  #updateUnresponsiveVoters(voters: number): void {
    const { log, metrics, unresponsiveVoters } = this.#options;
    const unresponsive = unresponsiveVoters();
    metrics.gauge("group.voters_unheard", unresponsive.length);
    const names = namesOf(unresponsive);
    if (names !== this.#unresponsiveNames) {
      this.#unresponsiveNames = names;
      log.warn("The set of unresponsive voters changed", {
        unheard: names || "none",
        voters,
      });
    }
  }

  #updateLag(isLeading: boolean): void {
    const { metrics } = this.#options;
    this.#lagMonitor.update(isLeading);
    const { lagging } = this.#lagMonitor;
    const voters = lagging.filter(({ voter }) => voter).length;
    metrics.gauge("group.voters_behind", voters);
    metrics.gauge("group.learners_behind", lagging.length - voters);
  }
}

function namesOf(members: readonly ReplicaMember[]): string {
  return members.map(({ name }) => name).join(", ");
}
