import type { Milliseconds } from "@heroncleat/base";
import type { JoinReply, ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { BootstrapRegistry } from "./bootstrap_registry.ts";

/** Pause between queries while no replica responds. */
const SEARCH_PAUSE: Milliseconds = 300;
/** Pause between queries once the members are known. */
const REFRESH_PAUSE: Milliseconds = 2000;
const CALL_TIMEOUT: Milliseconds = 700;

type FinderOptions = {
  readonly registry: BootstrapRegistry;
  readonly pool: Pick<PeerPool, "call">;
  readonly seeds: () => readonly string[];
  readonly ownAddress: string;
  readonly log: Log;
};

/**
 * Keeps a process without a replica informed of the group's members. It queries
 * one member at a time, or the seeds. Replicas announce the members to a seed,
 * as all seeds may have restarted.
 */
export class MemberFinder {
  readonly #options: FinderOptions;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;
  #nextMember = 0;
  #loggedNames = "";

  constructor(options: FinderOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#refresh();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #refresh(): Promise<void> {
    const { registry, log } = this.#options;
    let isFound = false;
    try {
      isFound = await this.#queryNextMember(registry.members) ||
        await this.#queryOtherSeeds();
      this.#logChange();
    } catch (error) {
      log.error("Can't look for the members of the group", {
        error: String(error),
      });
    }
    if (!this.#isStopped) {
      const pause = isFound ? REFRESH_PAUSE : SEARCH_PAUSE;
      this.#timer = setTimeout(() => void this.#refresh(), pause);
    }
  }

  /**
   * Queries a different member each time, so that an outdated reply from a
   * partitioned member is soon corrected.
   */
  async #queryNextMember(members: readonly ReplicaMember[]): Promise<boolean> {
    if (members.length === 0) {
      return false;
    }
    this.#nextMember = (this.#nextMember + 1) % members.length;
    return await this.#query(members[this.#nextMember]!.address);
  }

  async #queryOtherSeeds(): Promise<boolean> {
    const { seeds, ownAddress } = this.#options;
    const others = seeds().filter((seed) => seed !== ownAddress);
    const found = await Promise.all(others.map((seed) => this.#query(seed)));
    return found.includes(true);
  }

  async #query(address: string): Promise<boolean> {
    const { pool, registry } = this.#options;
    try {
      const reply = await pool.call(address, "control.join", {
        parameters: {},
        timeout: CALL_TIMEOUT,
      }) as JoinReply;
      if (reply.formed) {
        registry.recordGroup(reply.founders, reply.members);
      }
      return reply.formed;
    } catch {
      // The next round retries.
      return false;
    }
  }

  #logChange(): void {
    const { registry, log } = this.#options;
    const names = registry.members.map(({ name }) => name).join(", ");
    if (names !== this.#loggedNames) {
      this.#loggedNames = names;
      log.info("Forwards calls to the members of the group", {
        members: names,
      });
    }
  }
}
