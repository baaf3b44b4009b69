import type { FoundingView, ReplicaMember } from "@heroncleat/schema";
import { chooseInitialMembers } from "./choose_initial_members.ts";

/** Next step of a replica that has no group. */
type BootstrapDecision =
  | { readonly kind: "wait" }
  /**
   * A group exists; the replica joins it, or already belongs to its initial
   * members.
   */
  | { readonly kind: "join"; readonly founders: readonly ReplicaMember[] }
  /** Ask every seed to hold this proposal. */
  | { readonly kind: "propose"; readonly founders: readonly ReplicaMember[] };

/**
 * Decides the next step of the group bootstrap from the seeds' views.
 *
 * @param views View of each seed in address order; undefined for a seed that
 * didn't respond.
 */
export function decideBootstrap(
  views: readonly (FoundingView | undefined)[],
  options: {
    /**
     * Whether a new group may be created, which only the first start of the
     * whole system allows.
     */
    readonly mayBootstrap: boolean;
    readonly targetMemberCount: number;
    /** Whether the wait for the full number of members has timed out. */
    readonly isOverdue: boolean;
  },
): BootstrapDecision {
  const responses = views.filter((view) => view !== undefined);
  const formed = responses.find(({ isFormed }) => isFormed);
  if (formed !== undefined) {
    return { kind: "join", founders: formed.founders };
  }
  if (!options.mayBootstrap || responses.length < views.length) {
    return { kind: "wait" };
  }
  // Seeds are asked to hold a proposal in address order. Whatever the last seed
  // holds was once held by all seeds before it, even if they have restarted
  // since.
  const heldProposal = responses.findLast(({ founders }) =>
    founders.length > 0
  );
  if (heldProposal !== undefined) {
    return { kind: "propose", founders: heldProposal.founders };
  }
  const candidates = mergeCandidates(responses);
  const hasEnoughCandidates = candidates.length >= options.targetMemberCount ||
    options.isOverdue;
  return hasEnoughCandidates && candidates.length > 0
    ? {
      kind: "propose",
      founders: chooseInitialMembers(candidates, options.targetMemberCount),
    }
    : { kind: "wait" };
}

function mergeCandidates(views: readonly FoundingView[]): ReplicaMember[] {
  const merged = new Map<string, ReplicaMember>();
  for (const { candidates } of views) {
    for (const candidate of candidates) {
      merged.set(candidate.id, candidate);
    }
  }
  return [...merged.values()];
}
