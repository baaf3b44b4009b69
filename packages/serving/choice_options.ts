import type { Milliseconds } from "@heroncleat/base";
import type { BalancedRequest } from "./balanced_request.ts";

/** Inputs of a choice. @internal */
export type ChoiceOptions = {
  readonly request: BalancedRequest;
  readonly now: Milliseconds;
  /** Whether upstreams without recent heartbeats are excluded. */
  readonly requiresHeartbeats: boolean;
};
