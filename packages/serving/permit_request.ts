import type { ClassDemand } from "./class_demand.ts";
import type { RateLimit } from "./rate_limit.ts";
import type { WantedPermit } from "./wanted_permit.ts";

/** Request of an entry for permits to send to upstreams with a rate limit. @public */
export type PermitRequest = {
  /** Name of the entry. */
  readonly entry: string;
  /** Number of entries that it knows of, itself included. */
  readonly entryCount: number;
  /** What the entry knows of the limits of the upstreams that it names. */
  readonly limits: readonly RateLimit[];
  /** The most urgent request comes first. */
  readonly wanted: readonly WantedPermit[];
  /**
   * Requests since the last call to which all upstreams were closed but for a
   * permit, including those that weren't worth a call.
   */
  readonly demand: readonly ClassDemand[];
};
