import type { Clock, Milliseconds } from "@heroncleat/base";
import type { DispatchNotice } from "@heroncleat/schema";
import type {
  EngineProfile,
  RetryAllowance,
  UpstreamChoice,
  UpstreamDirectory,
} from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { CrashWatch } from "../common/crash_watch.ts";
import type { HeaderNames } from "./header_names.ts";
import type { DepartureDeadline } from "./departure_deadline.ts";
import type { UpstreamAgent } from "./upstream_agent.ts";

/** What forwarding a request needs from the entry. */
export type ForwardContext = {
  readonly names: HeaderNames;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Own availability zone. */
  readonly zone: string;
  readonly choice: UpstreamChoice;
  readonly directory: UpstreamDirectory;
  /** Requests under which upstreams ended. */
  readonly crashes: CrashWatch;
  /** When this entry ends, if it leaves. */
  readonly leaving: DepartureDeadline;
  /** What is known of a service's engines; nothing for plain services. */
  readonly engineOf: (service: string) => EngineProfile | undefined;
  /** Notes a prompt that goes to an upstream; others may be sent a notice. */
  readonly announceDispatch: (notice: DispatchNotice) => void;
  readonly agentOf: (upstream: string) => UpstreamAgent;
  readonly retryAllowanceOf: (service: string) => RetryAllowance;
  /** Entries that share the retry allowance. */
  readonly countEntries: () => number;
  /** Whether updates of upstreams reach this entry. */
  readonly isSynced: () => boolean;
  /** Time since the newest updates of upstreams. */
  readonly syncAge: () => Milliseconds;
  /** Counts a request that an upstream began to run, at monotonic time. */
  readonly countUsage: (workspace: string, beganAt: Milliseconds) => void;
};
