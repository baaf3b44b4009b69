import type { ScaleLimits } from "./scale_limits.ts";
import type { EngineProfile } from "./engine_profile.ts";

/** A set of interchangeable upstreams. @public */
export type Service = {
  readonly name: string;
  /** Maximum number of connections that one upstream accepts in total. */
  readonly maxConnections: number;
  /** Profile of a model engine; undefined for plain services. */
  readonly engine: EngineProfile | undefined;
  /** Undefined if the number of upstreams is fixed. */
  readonly scale: ScaleLimits | undefined;
};
