/**
 * What a control process without a replica answers an entry: where the
 * replicas are.
 *
 * @public
 */
export type ReplicaList = {
  /** host:port of the control replicas it knows. */
  readonly replicas: readonly string[];
};
