import type { Deployment, ProcessGroup } from "@heroncleat/local_deployment";
import type { PeerPool } from "@heroncleat/transport";

/** A deployment under measurement. */
export type BenchDeployment = {
  readonly deployment: Deployment;
  readonly processes: ProcessGroup;
  readonly pool: PeerPool;
  stop(): void;
};
