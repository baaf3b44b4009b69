import type { FoundingView, ReplicaMember } from "@heroncleat/schema";
import { chooseFounders } from "./choose_founders.ts";

/** What a replica without a group does next. */
type FoundingDecision =
  | { readonly kind: "wait" }
  /** There is a group, which it joins or has founded. */
  | { readonly kind: "join"; readonly founders: readonly ReplicaMember[] }
  /** All seeds are to hold this proposal. */
  | { readonly kind: "propose"; readonly founders: readonly ReplicaMember[] };

/**
 * Decides on the founding of a group by what the seeds say.
 *
 * @param views What each seed answered, in the order of their addresses;
 *     undefined for one that didn't.
 */
export function decideFounding(
  views: readonly (FoundingView | undefined)[],
  options: {
    /** Whether a group may be founded, as the system starts first. */
    readonly mayFound: boolean;
    readonly wantedFounders: number;
    /** Whether it is time to found a group with fewer. */
    readonly isOverdue: boolean;
  },
): FoundingDecision {
  const answered = views.filter((view) => view !== undefined);
  const formed = answered.find(({ isFormed }) => isFormed);
  if (formed !== undefined) {
    return { kind: "join", founders: formed.founders };
  }
  if (!options.mayFound || answered.length < views.length) {
    return { kind: "wait" };
  }
  // Proposals are held in the order of the seeds: what the last one holds was
  // held by those before it, who may have forgotten.
  const held = answered.findLast(({ founders }) => founders.length > 0);
  if (held !== undefined) {
    return { kind: "propose", founders: held.founders };
  }
  const candidates = unite(answered);
  const isEnough = candidates.length >= options.wantedFounders ||
    options.isOverdue;
  return isEnough && candidates.length > 0
    ? {
      kind: "propose",
      founders: chooseFounders(candidates, options.wantedFounders),
    }
    : { kind: "wait" };
}

function unite(views: readonly FoundingView[]): ReplicaMember[] {
  const united = new Map<string, ReplicaMember>();
  for (const { candidates } of views) {
    for (const candidate of candidates) {
      united.set(candidate.id, candidate);
    }
  }
  return [...united.values()];
}
