import type { UpstreamFilter } from "@heroncleat/rollouts";
import type { PromptPart } from "./prompt_part.ts";
import type { EngineProfile } from "./engine_profile.ts";

/** Properties of a request that determine its upstream. @internal */
export type BalancedRequest = {
  readonly service: string;
  readonly zone: string;
  /** Parts of the prompt in order; empty for plain services. */
  readonly parts: readonly PromptPart[];
  /** Tokens of the whole prompt. */
  readonly promptTokens: number;
  /** Ids of upstreams that this request must not be sent to. */
  readonly excluded: ReadonlySet<string>;
  /** Upstreams that the versions of the service admit; undefined admits all. */
  readonly isAdmitted?: UpstreamFilter | undefined;
  /**
   * Whether it goes on with a stream that only some upstreams may continue, so
   * that those that drain serve it until their drain timeout.
   */
  readonly isResumed?: boolean;
  /** Whether an idle connection to the upstream with this id is open. */
  readonly isConnected?: (upstream: string) => boolean;
  /**
   * Whether to avoid upstreams with other requests, as it may crash its
   * upstream.
   */
  readonly prefersIdle?: boolean;
  /**
   * Whether it can't be sent elsewhere once an upstream rejects it, so that one
   * that rejected others before is left to requests that can.
   */
  readonly isLastTry?: boolean;
  /** Profile of the service's engines; undefined for plain services. */
  readonly engine?: EngineProfile | undefined;
};
