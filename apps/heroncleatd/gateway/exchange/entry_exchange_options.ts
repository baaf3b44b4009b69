import type { Clock } from "@heroncleat/base";
import type {
  KnownEntry,
  LeasedShare,
  PossibleOrigins,
  RateLimitRegistry,
  SendPermits,
  SuspectRegistry,
  UpstreamBalancer,
  UpstreamDirectory,
  UpstreamStatements,
  UsageCounts,
  WorkspaceQuota,
} from "@heroncleat/serving";
import type { LoadShedder } from "@heroncleat/shedding";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import type { ChargeSync } from "./charge_sync.ts";
import type { SuspectWatcher } from "../../common/suspect_watcher.ts";
import type { GatewaySettings } from "../gateway_settings.ts";
import type { RateLimitWatcher } from "../../common/rate_limit_watcher.ts";
import type { RolloutWatcher } from "./rollout_watcher.ts";
import type { StreamOriginExchange } from "../streams/stream_origin_exchange.ts";
import type { UpstreamAgents } from "../upstreams/upstream_agents.ts";

/** What the exchange with the control replicas reads and changes. */
export type EntryExchangeOptions = {
  readonly settings: () => GatewaySettings;
  /** Identifier of this process incarnation. */
  readonly boot: string;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Pick<Metrics, "increment">;
  readonly directory: UpstreamDirectory;
  readonly choice: UpstreamBalancer;
  readonly shedder: Pick<LoadShedder, "report" | "applyTotals">;
  readonly agents: UpstreamAgents;
  readonly statements: Pick<
    UpstreamStatements,
    "listResting" | "carryOverRest"
  >;
  readonly quota: WorkspaceQuota;
  readonly usage: UsageCounts;
  readonly charges: ChargeSync;
  readonly retryShare: LeasedShare;
  readonly crashes: SuspectWatcher;
  readonly suspectRegistry: SuspectRegistry;
  readonly rateLimits: RateLimitRegistry;
  readonly rateLimitWatcher: RateLimitWatcher;
  readonly permits: SendPermits;
  readonly rollouts: RolloutWatcher;
  readonly possibleOrigins: PossibleOrigins;
  readonly streams: Pick<StreamOriginExchange, "shareNewlyAmbiguous">;
  /** Whether this entry accepts callers. */
  readonly isOpen: () => boolean;
  /** Lists the services of which this entry reaches no upstream. */
  readonly listUnreachable: () => readonly string[];
  /** Version of the configuration document in effect; -1 if there is none. */
  readonly documentVersion: () => number;
  readonly onDocument: (source: string) => void;
  /** Lists the entries that any reachable control replica lists. */
  readonly listEntries: () => readonly KnownEntry[];
};
