import type { JoinReply, ReplicaMember } from "@heroncleat/schema";

/** What a replica with an empty data folder does. */
type FormationDecision =
  /** Some peer has not answered yet, so nothing is sure. */
  | { readonly kind: "wait" }
  /** No peer has a group: all of them found one together. */
  | { readonly kind: "found"; readonly founders: readonly ReplicaMember[] }
  /** There is a group, and this replica is one of its founders or joins. */
  | { readonly kind: "join"; readonly founders: readonly ReplicaMember[] };

/**
 * Decides how an empty replica starts. A group is founded only when every
 * configured replica answers that it knows none; a replica whose disk was
 * lost always meets a peer that does, and joins under its new identity.
 */
export function decideFormation(
  self: ReplicaMember,
  options: { expected: number; replies: readonly JoinReply[] },
): FormationDecision {
  const formed = options.replies.find((reply) => reply.formed);
  if (formed !== undefined) {
    return { kind: "join", founders: formed.founders };
  }
  const found = new Map([[self.id, self]]);
  for (const reply of options.replies) {
    if (reply.self !== undefined) {
      found.set(reply.self.id, reply.self);
    }
  }
  if (found.size < options.expected) {
    return { kind: "wait" };
  }
  const founders = [...found.values()].sort((left, right) =>
    left.id < right.id ? -1 : 1
  );
  return { kind: "found", founders };
}
