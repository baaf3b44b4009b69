/**
 * Reply of a control process without a replica to an entry: where the replicas
 * are.
 *
 * @public
 */
export type ReplicaList = {
  /** host:port of the known control replicas. */
  readonly replicas: readonly string[];
};
