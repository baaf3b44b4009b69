import type { ReplicaMember } from "@heroncleat/schema";

/** Members of the past that are remembered. */
const MOST_LEARNT = 64;

/** What the directory is built from. */
type DirectoryOptions = {
  /** Members the group was formed with. */
  readonly founders: readonly ReplicaMember[];
  /** Members that this replica's log names. */
  readonly members: () => readonly ReplicaMember[];
};

/**
 * Everyone who is or was a member, as far as this replica knows: by its own
 * log, by what others reported, and the founders. The log of a replica whose
 * disk was lost names the founders only, and any of them may be gone; the
 * leader may be one that came later, which it must be able to ask and to
 * answer.
 */
export class MemberDirectory {
  readonly #options: DirectoryOptions;
  /** By identity, the newest last. */
  readonly #learnt = new Map<string, ReplicaMember>();

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /** Takes in the members that another replica knows. */
  learn(members: readonly ReplicaMember[]): void {
    for (const member of members) {
      this.#learnt.delete(member.id);
      this.#learnt.set(member.id, member);
    }
    for (const id of this.#learnt.keys()) {
      if (this.#learnt.size <= MOST_LEARNT) {
        return;
      }
      this.#learnt.delete(id);
    }
  }

  /** The member of an identity. */
  find(id: string): ReplicaMember | undefined {
    return this.#all().find((member) => member.id === id);
  }

  /** Peer addresses under which a member may be found. */
  get addresses(): string[] {
    return [...new Set(this.#all().map(({ address }) => address))];
  }

  #all(): ReplicaMember[] {
    const { members, founders } = this.#options;
    return [...members(), ...this.#learnt.values(), ...founders];
  }
}
