import type { Milliseconds } from "@heroncleat/base";
import type { JoinReply, ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { FoundingRegister } from "./founding_register.ts";

/** Pause between looks while no replica answers. */
const SEARCH_PAUSE: Milliseconds = 300;
/** Pause between looks at who is a member. */
const REFRESH_PAUSE: Milliseconds = 2000;
const ASK_TIMEOUT: Milliseconds = 700;

/** What the finder is built from. */
type FinderOptions = {
  readonly register: FoundingRegister;
  readonly pool: Pick<PeerPool, "call">;
  readonly seeds: () => readonly string[];
  readonly ownAddress: string;
  readonly log: Log;
};

/**
 * Keeps a process without a replica informed of the members of the group: it
 * asks a member, and the seeds while none answers. Replicas tell it on their
 * own where it is a seed, as all seeds may have restarted and know nobody.
 */
export class MemberFinder {
  readonly #options: FinderOptions;
  #timer: NodeJS.Timeout | undefined;
  #isStopped = false;
  #next = 0;
  #known = "";

  constructor(options: FinderOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#look();
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  async #look(): Promise<void> {
    const { register } = this.#options;
    const isFound = await this.#askMember(register.members) ||
      await this.#askSeeds();
    this.#noteChange();
    if (!this.#isStopped) {
      const pause = isFound ? REFRESH_PAUSE : SEARCH_PAUSE;
      this.#timer = setTimeout(() => void this.#look(), pause);
    }
  }

  /** Another one each time, so that one that is cut off isn't believed long. */
  async #askMember(members: readonly ReplicaMember[]): Promise<boolean> {
    if (members.length === 0) {
      return false;
    }
    this.#next = (this.#next + 1) % members.length;
    return await this.#ask(members[this.#next]!.address);
  }

  async #askSeeds(): Promise<boolean> {
    const { seeds, ownAddress } = this.#options;
    const others = seeds().filter((seed) => seed !== ownAddress);
    const found = await Promise.all(others.map((seed) => this.#ask(seed)));
    return found.includes(true);
  }

  async #ask(address: string): Promise<boolean> {
    const { pool, register } = this.#options;
    try {
      const reply = await pool.call(address, "control.join", {
        parameters: {},
        timeout: ASK_TIMEOUT,
      }) as JoinReply;
      if (reply.formed) {
        register.learnGroup(reply.founders, reply.members);
      }
      return reply.formed;
    } catch {
      // Whoever doesn't answer is asked again at a later look.
      return false;
    }
  }

  #noteChange(): void {
    const { register, log } = this.#options;
    const names = register.members.map(({ name }) => name).join(", ");
    if (names !== this.#known) {
      this.#known = names;
      log.info("Passes calls on to the members of the group", {
        members: names,
      });
    }
  }
}
