import type { Clock, Milliseconds } from "@heroncleat/base";
import type { Replica } from "@heroncleat/consensus";
import type { ReplicaMember } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";

/** Time for which a member may lack entries before it counts as lagging. */
const CATCH_UP_TIMEOUT: Milliseconds = 5000;
const LOG_INTERVAL: Milliseconds = 5000;

type LagMonitorOptions = {
  readonly replica: Replica;
  readonly clock: Clock;
  readonly log: Log;
  /** Whether a member responds and has nearly all entries. */
  readonly hasCaughtUp: (id: string) => boolean;
};

/** Finds the members of a group that don't catch up with the leader's log. */
export class LagMonitor {
  readonly #options: LagMonitorOptions;
  readonly #laggingSince = new Map<string, Milliseconds>();
  #lagging: readonly ReplicaMember[] = [];
  #names = "";
  #loggedAt = -Infinity;

  constructor(options: LagMonitorOptions) {
    this.#options = options;
  }

  /** The same array until other members lag; empty unless this one leads. */
  get lagging(): readonly ReplicaMember[] {
    return this.#lagging;
  }

  /** @param isLeading Whether this replica leads, as only a leader can tell. */
  update(isLeading: boolean): void {
    const lagging = isLeading ? this.#findLagging() : [];
    const names = lagging.map(({ name }) => name).join(", ");
    if (names !== this.#names) {
      this.#names = names;
      this.#lagging = lagging;
      this.#options.log.warn("The set of lagging members changed", {
        members: names || "none",
      });
    }
    this.#logProgress();
  }

  #findLagging(): ReplicaMember[] {
    const { replica, clock, hasCaughtUp } = this.#options;
    const now = clock.now();
    const others = replica.members.filter(({ id }) => id !== replica.leader);
    for (const id of this.#laggingSince.keys()) {
      if (!others.some((member) => member.id === id)) {
        this.#laggingSince.delete(id);
      }
    }
    const lagging: ReplicaMember[] = [];
    for (const member of others) {
      if (hasCaughtUp(member.id)) {
        this.#laggingSince.delete(member.id);
        continue;
      }
      const since = this.#laggingSince.get(member.id) ?? now;
      this.#laggingSince.set(member.id, since);
      if (now - since > CATCH_UP_TIMEOUT) {
        lagging.push(member);
      }
    }
    return lagging;
  }

  /** Tells a member that gets nothing from one that gets the same again. */
  #logProgress(): void {
    const { replica, clock, log } = this.#options;
    const now = clock.now();
    if (this.#lagging.length === 0 || now - this.#loggedAt < LOG_INTERVAL) {
      return;
    }
    this.#loggedAt = now;
    for (const { id, name } of this.#lagging) {
      const progress = replica.progressOf(id);
      if (progress === undefined) {
        continue;
      }
      log.warn(`Member ${name} doesn't catch up`, {
        matchIndex: progress.matchIndex,
        nextIndex: progress.nextIndex,
        transferOffset: progress.transferOffset,
        sendsSinceProgress: progress.sendsSinceProgress,
        commitIndex: replica.commitIndex,
        silentFor: Math.round(now - replica.lastContactAt(id)),
      });
    }
  }
}
