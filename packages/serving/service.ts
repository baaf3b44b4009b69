import type { ScaleLimits } from "./scale_limits.ts";
import type { EngineProfile } from "./engine_profile.ts";

/** A group of upstreams that serve the same requests. @public */
export type Service = {
  readonly name: string;
  /** Connections that one upstream takes from all callers together. */
  readonly maxConnections: number;
  /** Present for model engines. */
  readonly engine: EngineProfile | undefined;
  /** Present where the number of upstreams may be ordered. */
  readonly scale: ScaleLimits | undefined;
};
