import type { LoadBalancingPolicy } from "@heroncleat/routing";

/** One way to run the system. */
export type Policy = {
  readonly name: string;
  readonly choose: () => LoadBalancingPolicy;
  /** Whether an answer that lost its upstream begins anew. */
  readonly restarts: boolean;
  /** Whether only on-demand VMs are held. */
  readonly onDemandOnly: boolean;
};
