import type { ReplicaMember } from "@heroncleat/schema";

/** Bounds the memory for members reported by other replicas. */
const MAX_REPORTED_MEMBERS = 64;

type DirectoryOptions = {
  /** Initial members of the group. */
  readonly founders: readonly ReplicaMember[];
  /** Members according to this replica's log. */
  readonly members: () => readonly ReplicaMember[];
};

/**
 * Current and former members, from this replica's log, reports of other
 * replicas and the initial members. After a lost disk, only the reports name a
 * leader that joined later.
 */
export class MemberDirectory {
  readonly #options: DirectoryOptions;
  /** Keyed by disk identity; the most recently reported member is last. */
  readonly #reported = new Map<string, ReplicaMember>();

  constructor(options: DirectoryOptions) {
    this.#options = options;
  }

  /** Records the members that another replica reports. */
  record(members: readonly ReplicaMember[]): void {
    for (const member of members) {
      this.#reported.delete(member.id);
      this.#reported.set(member.id, member);
    }
    for (const id of this.#reported.keys()) {
      if (this.#reported.size <= MAX_REPORTED_MEMBERS) {
        return;
      }
      this.#reported.delete(id);
    }
  }

  find(id: string): ReplicaMember | undefined {
    return this.#allMembers().find((member) => member.id === id);
  }

  /** Peer addresses of all current and former members, without duplicates. */
  get addresses(): string[] {
    return [...new Set(this.#allMembers().map(({ address }) => address))];
  }

  #allMembers(): ReplicaMember[] {
    const { members, founders } = this.#options;
    return [...members(), ...this.#reported.values(), ...founders];
  }
}
