import type { UpstreamAgent } from "./upstream_agent.ts";

/** The connections to an upstream instance that gets no new requests. */
export type RetiredAgent = {
  /** Identifier of the instance. */
  readonly upstream: string;
  readonly agent: UpstreamAgent;
};
