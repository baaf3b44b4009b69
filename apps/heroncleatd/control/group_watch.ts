import type { Clock, Milliseconds } from "@heroncleat/base";
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

/** Time for which a learner may lack entries before it is reported. */
const CATCH_UP_TIME: Milliseconds = 5000;

/** What the watch is built from. */
type WatchOptions = {
  readonly replica: Replica;
  readonly promised: FaultToleranceTarget;
  readonly regionOf: (zone: string) => string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Voters that are silent to this leader. */
  readonly silentVoters: () => readonly ReplicaMember[];
  readonly hasCaughtUp: (id: string) => boolean;
};

/**
 * Tells operators how a group stands: a group that runs on with voters gone, or
 * with too few from the start, serves as before until it loses one more.
 */
export class GroupWatch {
  readonly #options: WatchOptions;
  readonly #behindSince = new Map<string, Milliseconds>();
  #members: readonly ReplicaMember[] = [];
  #unkept: readonly string[] = [];
  #silent = "";
  #behind = "";

  constructor(options: WatchOptions) {
    this.#options = options;
  }

  get state(): GroupState {
    const { replica, promised } = this.#options;
    const leader = replica.members.find(({ id }) => id === replica.leader);
    return {
      leader: leader?.name ?? "",
      members: [...replica.members],
      promised,
      unkept: this.#unkept,
    };
  }

  /** Brings metrics up to date and logs what changed. */
  look(): void {
    const { replica, metrics } = this.#options;
    const isLeading = replica.role === ReplicaRole.leader;
    const voters = replica.members.filter(({ voter }) => voter);
    metrics.gauge("group.leads", isLeading ? 1 : 0);
    metrics.gauge("group.voters", voters.length);
    metrics.gauge("group.learners", replica.members.length - voters.length);
    this.#lookAtPromises();
    this.#lookAtSilence(voters.length);
    this.#lookAtLearners(isLeading);
  }

  #lookAtPromises(): void {
    const { replica, promised, regionOf, log, metrics } = this.#options;
    if (replica.members === this.#members) {
      return;
    }
    this.#members = replica.members;
    const before = this.#unkept.join(" ");
    this.#unkept = describeUnmetFaultTolerance(
      this.#members,
      promised,
      regionOf,
    );
    metrics.gauge("group.unkept_promises", this.#unkept.length);
    const now = this.#unkept.join(" ");
    if (now === before) {
      return;
    }
    if (now === "") {
      log.info("The group bears the losses that the settings promise");
    } else {
      log.warn("The group can't bear what the settings promise", {
        problem: now,
      });
    }
  }

  #lookAtSilence(voters: number): void {
    const { log, metrics, silentVoters } = this.#options;
    const silent = silentVoters();
    metrics.gauge("group.voters_unheard", silent.length);
    const names = namesOf(silent);
    if (names !== this.#silent) {
      this.#silent = names;
      log.warn("Voters are out of reach", { unheard: names || "none", voters });
    }
  }

  #lookAtLearners(isLeading: boolean): void {
    const { log, metrics } = this.#options;
    const behind = isLeading ? this.#findBehind() : [];
    metrics.gauge("group.learners_behind", behind.length);
    const names = namesOf(behind);
    if (names !== this.#behind) {
      this.#behind = names;
      log.warn("Learners don't catch up", { learners: names || "none" });
    }
  }

  #findBehind(): ReplicaMember[] {
    const { replica, clock, hasCaughtUp } = this.#options;
    const now = clock.now();
    const behind: ReplicaMember[] = [];
    const learners = replica.members.filter(({ voter }) => !voter);
    for (const id of this.#behindSince.keys()) {
      if (!learners.some((learner) => learner.id === id)) {
        this.#behindSince.delete(id);
      }
    }
    for (const learner of learners) {
      if (hasCaughtUp(learner.id)) {
        this.#behindSince.delete(learner.id);
        continue;
      }
      const since = this.#behindSince.get(learner.id) ?? now;
      this.#behindSince.set(learner.id, since);
      if (now - since > CATCH_UP_TIME) {
        behind.push(learner);
      }
    }
    return behind;
  }
}

function namesOf(members: readonly ReplicaMember[]): string {
  return members.map(({ name }) => name).join(", ");
}
