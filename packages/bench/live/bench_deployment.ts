import type { Deployment, ProcessGroup } from "@heroncleat/local_deployment";
import type { PeerPool } from "@heroncleat/transport";

/** A running local deployment, with a peer pool for calls to its processes. */
export type BenchDeployment = {
  readonly deployment: Deployment;
  readonly processes: ProcessGroup;
  readonly pool: PeerPool;
  stop(): void;
};
