import type { Milliseconds, Random } from "@heroncleat/base";
import type { SoakDeployment } from "./soak_deployment.ts";
import type { Workload } from "./workload.ts";

/** What an injection of faults needs beside the deployment. */
export type FaultInjection = {
  readonly until: Milliseconds;
  /** Counts an injected fault. */
  readonly note: (name: string) => void;
  /** Creates one of the independent random number streams of the seed. */
  readonly createRandom: (stream: number) => Random;
};

/** The faults of a soak, and the load under which they are injected. @public */
export type FaultMode = {
  readonly workload: Workload;
  readonly machinesPerZone: number;
  /** Time without faults at the end, after which requests must be served. */
  readonly recoveryTime: Milliseconds;
  /** Resolves once the last fault is over. */
  readonly inject: (
    deployment: SoakDeployment,
    injection: FaultInjection,
  ) => Promise<void>;
};
