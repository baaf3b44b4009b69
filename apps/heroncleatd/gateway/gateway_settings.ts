import type { Milliseconds } from "@heroncleat/base";
import type { QuotaSettings } from "@heroncleat/serving";
import type { CallerLimits } from "./caller_limits.ts";

/** Settings of an entry's request forwarding. */
export type GatewaySettings = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** host:port on which to listen for callers. */
  readonly address: string;
  /** host:port on which to receive datagrams; all entries use the same port. */
  readonly noticeAddress: string;
  /**
   * host:port on which to receive requests that other entries pass on; all
   * entries use the same port.
   */
  readonly relayAddress: string;
  /** host:port of the control replicas to contact first. */
  readonly seeds: readonly string[];
  readonly quota: QuotaSettings;
  /** Retries allowed per request to a service, across all entries. */
  readonly retryRatio: number;
  readonly retryWindow: Milliseconds;
  /** Retries allowed in addition per window and service, across all entries. */
  readonly retrySlack: number;
  readonly usageWindow: Milliseconds;
  /**
   * Time after the acknowledgement that an upstream drains in which requests
   * may still reach it; 0 for none.
   */
  readonly drainTimeout: Milliseconds;
  /**
   * Memory in bytes beyond which the process is killed; undefined for no limit.
   */
  readonly memoryLimit?: number | undefined;
  /** Absent ones have defaults. */
  readonly limits?: Partial<CallerLimits>;
  /** Time between SIGTERM and the latest exit of the process. */
  readonly gracePeriod: Milliseconds;
};
