import type { Milliseconds } from "@heroncleat/base";
import type { QuotaSettings } from "@heroncleat/serving";

/** Settings of request forwarding at one entry. */
export type GatewaySettings = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** host:port for callers. */
  readonly address: string;
  /** host:port for datagrams of other entries; the port is the same at all. */
  readonly noticeAddress: string;
  /** host:port of control replicas to ask first. */
  readonly seeds: readonly string[];
  readonly quota: QuotaSettings;
  /** Repeats allowed for each request of a service, over all entries. */
  readonly retryRatio: number;
  readonly retryWindow: Milliseconds;
  /** Repeats allowed beside that in a window, over all entries. */
  readonly retrySlack: number;
  readonly usageWindow: Milliseconds;
  /** Time from SIGTERM until the process must have ended. */
  readonly gracePeriod: Milliseconds;
};
