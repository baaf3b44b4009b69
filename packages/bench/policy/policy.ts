import type { LoadBalancingPolicy } from "@heroncleat/routing";

/**
 * Load balancing, retry and VM purchase options that are compared with others.
 */
export type Policy = {
  readonly name: string;
  readonly createLoadBalancingPolicy: () => LoadBalancingPolicy;
  /**
   * Whether a response is generated from its start again after its upstream is
   * lost.
   */
  readonly restartsFromScratch: boolean;
  /** Whether only on-demand VMs are started. */
  readonly usesOnlyOnDemand: boolean;
};
