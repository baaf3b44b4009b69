import type { Clock, Milliseconds } from "@heroncleat/base";
import type { DispatchNotice } from "@heroncleat/schema";
import type {
  EngineProfile,
  SharedRetryBudget,
  UpstreamBalancer,
  UpstreamDirectory,
} from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { SuspectWatcher } from "../common/suspect_watcher.ts";
import type { HeaderNames } from "./header_names.ts";
import type { LeaveDeadline } from "./leave_deadline.ts";
import type { UpstreamAgent } from "./upstream_agent.ts";

/** What forwarding a request needs from the entry. */
export type ForwardContext = {
  readonly names: HeaderNames;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Own availability zone. */
  readonly zone: string;
  readonly choice: UpstreamBalancer;
  readonly directory: UpstreamDirectory;
  /** Requests under which upstreams ended. */
  readonly crashes: SuspectWatcher;
  /** When this entry ends, if it leaves. */
  readonly leaving: LeaveDeadline;
  /** What is known of a service's engines; nothing for plain services. */
  readonly engineOf: (service: string) => EngineProfile | undefined;
  /** Notes a prompt that goes to an upstream; others may be sent a notice. */
  readonly noteDispatch: (notice: DispatchNotice) => void;
  readonly agentOf: (upstream: string) => UpstreamAgent;
  readonly allowanceOf: (service: string) => SharedRetryBudget;
  /** Entries that share the retry allowance. */
  readonly countEntries: () => number;
  /** Whether updates of upstreams reach this entry. */
  readonly isSynced: () => boolean;
  /** Time since the newest updates of upstreams. */
  readonly syncAge: () => Milliseconds;
  /** Counts a request that an upstream began to run, at monotonic time. */
  readonly countUsage: (workspace: string, beganAt: Milliseconds) => void;
};
