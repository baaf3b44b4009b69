/** @public */
export const ReplicaRole = {
  follower: "follower",
  candidate: "candidate",
  leader: "leader",
} as const;
