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
 * only when every configured replica responds that it has none. A replica that
 * lost its disk therefore never bootstraps a second group: some peer reports
 * the existing one, and the replica joins it under its new identity.
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
