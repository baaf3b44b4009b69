import type { Clock, Milliseconds } from "@heroncleat/base";
import type { DispatchNotice } from "@heroncleat/schema";
import type {
  EngineProfile,
  ReturnTimes,
  SendPermits,
  UpstreamBalancer,
  UpstreamDirectory,
  UpstreamStatements,
} from "@heroncleat/serving";
import type { LoadShedder } from "@heroncleat/shedding";
import type { BodyMemory } from "../common/body_memory.ts";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { SuspectWatcher } from "../common/suspect_watcher.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { HeaderNames } from "./header_names.ts";
import type { DepartureDeadline } from "./shutdown/departure_deadline.ts";
import type { PermitClient } from "./limits/permit_client.ts";
import type { StatementWatcher } from "../common/statement_watcher.ts";
import type { ReachabilityWatcher } from "./relay/reachability_watcher.ts";
import type { Relay } from "./relay/relay.ts";
import type { RetryLimiter } from "./limits/retry_limiter.ts";
import type { RolloutWatcher } from "./exchange/rollout_watcher.ts";
import type { BreakWatcher } from "./upstreams/break_watcher.ts";
import type { UpstreamAgent } from "./upstreams/upstream_agent.ts";

/** What forwarding requests uses of the entry's state. */
export type ForwardContext = {
  readonly names: HeaderNames;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** What bodies hold. */
  readonly bodies: BodyMemory;
  /** Availability zone of this entry. */
  readonly zone: string;
  readonly choice: UpstreamBalancer;
  /** Refuses requests while a service is short. */
  readonly shedder: Pick<LoadShedder, "decide" | "recordFirstToken">;
  /** What upstreams stated about themselves to this entry. */
  readonly statements: UpstreamStatements;
  readonly directory: UpstreamDirectory;
  /** Tracks requests that upstreams crashed under. */
  readonly crashes: SuspectWatcher;
  /** Records what upstreams state in their responses. */
  readonly statementWatcher: StatementWatcher;
  readonly permits: SendPermits;
  readonly permitClient: PermitClient;
  /**
   * When callers of a service return that its upstreams with rate limits can't
   * serve now.
   */
  readonly returnTimesOf: (service: string) => ReturnTimes;
  /** Applies rollouts of new versions. */
  readonly rollouts: RolloutWatcher;
  /** Which services this entry reaches. */
  readonly reachability: ReachabilityWatcher;
  /** Sends requests through other entries; undefined if none are known. */
  readonly relay: Relay | undefined;
  /** When this entry exits, once its shutdown has begun. */
  readonly leaving: DepartureDeadline;
  /** Returns the engine profile of a service; undefined for plain services. */
  readonly engineOf: (service: string) => EngineProfile | undefined;
  /**
   * Called when a prompt is sent to an upstream; may send a notice to other
   * entries.
   */
  readonly announceDispatch: (notice: DispatchNotice) => void;
  /**
   * Called when an upstream refused a connection, or closed it without a
   * response; may send a notice to other entries.
   */
  readonly reportFailure: (upstream: string) => void;
  /** Finds out whether upstreams end when they break connections. */
  readonly breaks: Pick<BreakWatcher, "recordBreak" | "recordRefusal">;
  /**
   * Whether connections to an upstream's address (host:port) are refused, or
   * don't stay open for the time `hold` because its process ends.
   */
  readonly refusesConnections: (
    address: string,
    hold: Milliseconds,
  ) => Promise<boolean>;
  readonly agentOf: (upstream: string) => UpstreamAgent;
  readonly retries: RetryLimiter;
  /** Whether this entry receives updates about upstreams. */
  readonly isSynced: () => boolean;
  /** Time since the newest reply of a control replica. */
  readonly syncAge: () => Milliseconds;
  /** Records that events of a version are passed on, so that others resume it. */
  readonly recordStream: (call: CallerRequest, version: string) => void;
  /** Counts a request that an upstream began to run at a monotonic time. */
  readonly countUsage: (workspace: string, startedAt: Milliseconds) => void;
};
