import type { Milliseconds } from "@heroncleat/base";
import type {
  FoundingView,
  HoldRequest,
  RegisterRequest,
  ReplicaMember,
} from "@heroncleat/schema";

/** Silence after which a candidate no longer counts. */
const CANDIDATE_SILENT_AFTER: Milliseconds = 3000;
/**
 * Time after the start of the process before it holds a proposal. It may have
 * held one and forgotten it; whoever has a group tells it so within this time.
 */
const HOLD_AFTER: Milliseconds = 1000;
/** Candidates that are remembered. */
const MOST_CANDIDATES = 64;

/**
 * What a seed knows of the founding of a group, in memory: which replicas have
 * registered, which proposal of founders it holds, and which group there is.
 *
 * A group is founded by a proposal that all seeds hold. So a seed that restarts
 * and forgets can't help a second one to be founded: the other two refuse.
 */
export class FoundingRegister {
  readonly #startedAt: Milliseconds;
  readonly #candidates = new Map<
    string,
    { readonly member: ReplicaMember; seenAt: Milliseconds }
  >();
  #held: readonly ReplicaMember[] = [];
  #founders: readonly ReplicaMember[] = [];
  #members: readonly ReplicaMember[] = [];

  constructor(startedAt: Milliseconds) {
    this.#startedAt = startedAt;
  }

  /** Members the group was formed with; empty when no group is known. */
  get founders(): readonly ReplicaMember[] {
    return this.#founders;
  }

  /** Members of the group as last told. */
  get members(): readonly ReplicaMember[] {
    return this.#members;
  }

  /** Takes in that a replica is there, and its group if it has one. */
  register(request: RegisterRequest, now: Milliseconds): FoundingView {
    const { member, founders, members } = request;
    if (founders.length > 0) {
      this.learnGroup(founders, members);
    } else if (this.#founders.length === 0) {
      this.#noteCandidate(member, now);
    }
    return this.view(now);
  }

  learnGroup(
    founders: readonly ReplicaMember[],
    members: readonly ReplicaMember[],
  ): void {
    this.#candidates.clear();
    this.#founders = founders;
    this.#members = members.length > 0 ? members : founders;
  }

  /** Holds a proposal if none is held; the reply says which one is. */
  hold(request: HoldRequest, now: Milliseconds): FoundingView {
    const isFree = this.#held.length === 0 || request.isHeldAfter;
    if (isFree && now - this.#startedAt >= HOLD_AFTER) {
      this.#held = request.founders;
    }
    return this.view(now);
  }

  view(now: Milliseconds): FoundingView {
    const isFormed = this.#founders.length > 0;
    for (const [id, { seenAt }] of this.#candidates) {
      if (now - seenAt > CANDIDATE_SILENT_AFTER) {
        this.#candidates.delete(id);
      }
    }
    return {
      isFormed,
      founders: [...isFormed ? this.#founders : this.#held],
      candidates: [...this.#candidates.values()].map(({ member }) => member),
    };
  }

  #noteCandidate(member: ReplicaMember, now: Milliseconds): void {
    const known = this.#candidates.get(member.id);
    if (known !== undefined) {
      known.seenAt = now;
    } else if (this.#candidates.size < MOST_CANDIDATES) {
      this.#candidates.set(member.id, { member, seenAt: now });
    }
  }
}
