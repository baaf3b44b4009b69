import type { JoinReply, ReplicaMember } from "@heroncleat/schema";

type FormationDecision =
  /** Some replica has not responded, so a group may already exist. */
  | { readonly kind: "wait" }
  /** No replica has a group: all of them bootstrap one together. */
  | { readonly kind: "found"; readonly founders: readonly ReplicaMember[] }
  /** A group exists; this replica joins it or is one of its initial members. */
  | { readonly kind: "join"; readonly founders: readonly ReplicaMember[] };

/**
 * Decides how a replica with an empty data folder starts. It bootstraps a group
 * only if every configured replica has none, so one that lost its disk joins
 * the existing group under a new identity.
 */
export function decideFormation(
  self: ReplicaMember,
  options: { expected: number; replies: readonly JoinReply[] },
): FormationDecision {
  const formed = options.replies.find((reply) => reply.formed);
  if (formed !== undefined) {
    return { kind: "join", founders: formed.founders };
  }
  const replicas = new Map([[self.id, self]]);
  for (const reply of options.replies) {
    if (reply.self !== undefined) {
      replicas.set(reply.self.id, reply.self);
    }
  }
  if (replicas.size < options.expected) {
    return { kind: "wait" };
  }
  const initialMembers = [...replicas.values()].sort((left, right) =>
    left.id < right.id ? -1 : 1
  );
  return { kind: "found", founders: initialMembers };
}
