import type { Milliseconds } from "@heroncleat/base";
import type {
  FoundingView,
  HoldRequest,
  RegisterRequest,
  ReplicaMember,
} from "@heroncleat/schema";

/** Time without a registration after which a candidate is dropped. */
const CANDIDATE_TIMEOUT: Milliseconds = 3000;
/**
 * Delay after the start of the process before it holds a proposal. The process
 * may have held one before a restart; if a group has formed since, its members
 * announce it within this time.
 */
const HOLD_DELAY: Milliseconds = 1000;
const MAX_CANDIDATES = 64;

/**
 * In-memory state of a seed during the group bootstrap. A group forms from a
 * proposal that all seeds hold, so a seed that lost its state can't make a second
 * one form.
 */
export class BootstrapRegistry {
  readonly #startedAt: Milliseconds;
  readonly #candidates = new Map<
    string,
    { readonly member: ReplicaMember; seenAt: Milliseconds }
  >();
  #heldProposal: readonly ReplicaMember[] = [];
  #initialMembers: readonly ReplicaMember[] = [];
  #members: readonly ReplicaMember[] = [];

  constructor(startedAt: Milliseconds) {
    this.#startedAt = startedAt;
  }

  /** Initial members of the group; empty while no group is known. */
  get initialMembers(): readonly ReplicaMember[] {
    return this.#initialMembers;
  }

  /** Most recently reported members of the group. */
  get members(): readonly ReplicaMember[] {
    return this.#members;
  }

  /** Registers a replica as a candidate, or records its group if it has one. */
  register(request: RegisterRequest, now: Milliseconds): FoundingView {
    const { member, founders, members } = request;
    if (founders.length > 0) {
      this.recordGroup(founders, members);
    } else if (this.#initialMembers.length === 0) {
      this.#recordCandidate(member, now);
    }
    return this.view(now);
  }

  recordGroup(
    initialMembers: readonly ReplicaMember[],
    members: readonly ReplicaMember[],
  ): void {
    this.#candidates.clear();
    this.#initialMembers = initialMembers;
    this.#members = members.length > 0 ? members : initialMembers;
  }

  /**
   * Holds the proposal if none is held yet or a later seed holds the same one.
   * The returned view contains the proposal that is held.
   */
  hold(request: HoldRequest, now: Milliseconds): FoundingView {
    const isFree = this.#heldProposal.length === 0 || request.isHeldAfter;
    if (isFree && now - this.#startedAt >= HOLD_DELAY) {
      this.#heldProposal = request.founders;
    }
    return this.view(now);
  }

  view(now: Milliseconds): FoundingView {
    const isFormed = this.#initialMembers.length > 0;
    for (const [id, { seenAt }] of this.#candidates) {
      if (now - seenAt > CANDIDATE_TIMEOUT) {
        this.#candidates.delete(id);
      }
    }
    return {
      isFormed,
      founders: [...isFormed ? this.#initialMembers : this.#heldProposal],
      candidates: [...this.#candidates.values()].map(({ member }) => member),
    };
  }

  #recordCandidate(member: ReplicaMember, now: Milliseconds): void {
    const existing = this.#candidates.get(member.id);
    if (existing !== undefined) {
      existing.seenAt = now;
    } else if (this.#candidates.size < MAX_CANDIDATES) {
      this.#candidates.set(member.id, { member, seenAt: now });
    }
  }
}
