import { type Clock, createToken, type Milliseconds } from "@heroncleat/base";
import type { GroupState } from "@heroncleat/consensus";
import type { RolloutOrder } from "@heroncleat/rollouts";
import { checkEntryNotice, checkStreamOriginBatch } from "@heroncleat/schema";
import { originGroups } from "../common/origin_groups.ts";
import {
  type FeedRequest,
  type FleetSettings,
  Hub,
  type PermitRequest,
  type ServingDocument,
  type SyncReply,
  type SyncRequest,
  type UpstreamRecord,
} from "@heroncleat/serving";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { DecodedDocument } from "../gateway/exchange/decoded_document.ts";
import { SuspectStore } from "./suspect_store.ts";
import { DocumentCache } from "./document_cache.ts";
import type { LeaderTaskCalls } from "./leader_task_calls.ts";
import { LeaderTaskRunner } from "./leader_task_runner.ts";
import { EntryReportReader } from "./entry_report_reader.ts";
import { FeedReader } from "./feed_reader.ts";
import type { HubSettings } from "./hub_settings.ts";
import { hubCalls } from "./hub_calls.ts";
import { OriginStore } from "./origin_store.ts";
import type { PublishOutcome } from "./publish_outcome.ts";
import { RolloutOrders } from "./rollout_orders.ts";
import { RolloutRunner } from "./rollout_runner.ts";
import { readGroupStatus } from "./read_group_status.ts";
import { ReplicaGroup } from "./replica_group.ts";
import type { RunningHub } from "./running_hub.ts";
import { UpstreamUpdates } from "./upstream_updates.ts";
import { UsageStore } from "./usage_store.ts";

/** Limits text from other processes in log lines. */
const MAX_LOGGED_CHARACTERS = 200;
const EXPIRE_INTERVAL: Milliseconds = 1000;
/** Pause before a failed replica is reopened. */
const REOPEN_PAUSE: Milliseconds = 1000;

type StartOptions = {
  readonly settings: () => HubSettings;
  readonly fleet: FleetSettings;
  readonly decodeDocument: (source: string) => DecodedDocument;
  /** Undefined if this system neither orders upstreams nor reports usage. */
  readonly calls: LeaderTaskCalls | undefined;
  readonly pool: PeerPool;
  readonly serve: (methods: Readonly<Record<string, MethodHandler>>) => void;
  readonly clock: Clock;
  readonly log: (part: string) => Log;
  readonly metrics: Metrics;
};

/** Starts a control replica, which joins the group and serves entries. */
export async function startHub(options: StartOptions): Promise<RunningHub> {
  const hub = new Hub(createToken());
  const { clock } = options;
  const usageStore = new UsageStore({
    hub,
    folder: options.settings().dataFolder,
    log: options.log("operations"),
  });
  await usageStore.read();
  const suspectStore = new SuspectStore({
    registry: hub.crashes,
    folder: options.settings().dataFolder,
    clock,
    log: options.log("crashes"),
  });
  await suspectStore.read();
  const originStore = new OriginStore({
    folder: options.settings().dataFolder,
    clock,
    log: options.log("streams"),
    metrics: options.metrics,
  });
  await originStore.read();
  let group: ReplicaGroup | undefined;
  const exchangeLog = options.log("exchange");
  const reports = new EntryReportReader({ ...options, log: exchangeLog });
  const sync = (request: SyncRequest): SyncReply => {
    const isLeading = group?.leadership !== undefined;
    const reply = hub.sync(request, {
      now: clock.steady(),
      document: group?.isConfirmed ? group.application.document : undefined,
      controls: group?.addresses ?? [],
      isLeading,
      leader: isLeading ? undefined : group?.leaderAddress,
      rollouts: group?.isConfirmed ? group.application.rollouts : undefined,
    });
    if (reply.needsWhole) {
      options.metrics.increment("exchange.divergences");
      exchangeLog.info("Requests all counters of an entry", {
        entry: request.entry.name.slice(0, MAX_LOGGED_CHARACTERS),
      });
    }
    return reply;
  };
  const operations = options.log("operations");
  const documents = new DocumentCache(options.decodeDocument);
  const updates = new UpstreamUpdates({
    hub,
    clock,
    log: options.log("operations"),
    metrics: options.metrics,
    pool: options.pool,
    ownAddress: options.settings().peerAddress,
    members: () => group?.addresses,
    toleratedLosses: () => options.settings().toleratedLosses,
    dataFolder: options.settings().dataFolder,
    services: () =>
      serviceNamesOf(documents.decode(group?.application.document)),
  });
  await updates.restore();
  options.serve({
    "hub.sync": (parameters) => sync(reports.read(parameters)),
    "hub.permits": (parameters) =>
      hub.issuePermits(parameters as PermitRequest, clock.steady()),
    "hub.feed": (parameters) =>
      hub.createFeedReply(parameters as FeedRequest, clock.steady()),
    "hub.store_origins": (parameters) => {
      if (
        checkEntryNotice(parameters) && parameters.kind === "stream_origins"
      ) {
        const { entry, origins } = parameters;
        originStore.add({ entry, groups: originGroups.create(origins) });
      }
    },
    "hub.store_origin_batch": (parameters) => {
      if (checkStreamOriginBatch(parameters)) {
        originStore.add(parameters);
      }
    },
    "hub.find_origin": (parameters) =>
      originStore.find((parameters as { stream: string }).stream) ?? null,
    ...updates.methods(),
    [hubCalls.rateLimits]: () => hub.listRateLimits(clock.steady()),
    [hubCalls.suspects]: () => hub.crashes.list(clock.steady()),
    [hubCalls.clearSuspect]: (parameters) => {
      const { request } = parameters as { request: string };
      const wasSuspected = hub.crashes.recordCompletion(
        request,
        clock.steady(),
      );
      operations.info("An operator cleared a request", {
        request,
        known: wasSuspected ? "yes" : "no",
      });
      return wasSuspected;
    },
  });
  const expiryTimer = setInterval(() => {
    hub.expire(clock.steady());
    updates.expire();
    originStore.expire();
  }, EXPIRE_INTERVAL);
  let stopGroupServices = () => {};
  let isStopping = false;
  const log = options.log("group");
  const start = async (): Promise<void> => {
    if (isStopping) {
      return;
    }
    try {
      const started = await ReplicaGroup.start({ ...options, onFailure });
      group = started;
      originStore.open();
      stopGroupServices = startGroupServices(started, {
        ...options,
        hub,
        usageStore,
        suspectStore,
        documents,
      }).stop;
    } catch (error) {
      onFailure(error);
    }
  };
  const onFailure = (error: unknown) => {
    log.error("The replica failed and will be reopened", {
      error: describeFailure(error),
    });
    group = undefined;
    stopGroupServices();
    setTimeout(() => void start(), REOPEN_PAUSE);
  };
  void start();
  const publish = async (
    { version, source }: { version: number; source: string },
  ): Promise<PublishOutcome> => {
    const stored = group?.application.document;
    // The state that is applied has been committed. A large document may take
    // longer to commit than its operator waits, who then sends it again.
    const isStored = stored?.version === version && stored.source === source;
    const outcome = isStored
      ? { kind: "stored" as const }
      : await group?.propose({ kind: "publish", version, source });
    const published = outcome?.kind === "done" || outcome?.kind === "stored"
      ? "accepted"
      : "unavailable";
    operations.info(`Configuration sent by an operator: ${published}`, {
      version,
      versionBefore: group?.application.document?.version ?? -1,
      outcome: outcome?.kind ?? "no_group",
    });
    return published;
  };
  const rolloutOrders = new RolloutOrders({
    group: () => group,
    services: () =>
      serviceNamesOf(documents.decode(group?.application.document)),
    isInPlace: (order) => isVersionInPlace(order, hub),
    wall: () => hub.estimateWallTime(clock.steady()) ?? clock.wall(),
    log: options.log("rollouts"),
  });
  const readDocument = async () => {
    if (group === undefined || !await group.confirm()) {
      return "unavailable";
    }
    return group.application.document ?? "none";
  };
  options.serve({
    [hubCalls.publish]: (parameters) =>
      publish(parameters as Parameters<typeof publish>[0]),
    [hubCalls.readDocument]: readDocument,
    [hubCalls.startRollout]: (parameters) =>
      rolloutOrders.start(parameters as RolloutOrder),
    [hubCalls.readRollout]: (parameters) =>
      rolloutOrders.read((parameters as { service: string }).service),
    [hubCalls.mergeUpstream]: (parameters) =>
      updates.merge((parameters as { record: UpstreamRecord }).record),
    [hubCalls.removeUpstream]: (parameters) => {
      const { name, born } = parameters as { name: string; born?: number };
      return updates.remove(name, born);
    },
    [hubCalls.status]: (parameters): GroupState | Promise<GroupState> => {
      if (group === undefined) {
        return {
          leader: "",
          members: [],
          promised: options.settings().promisedLosses,
          unkept: [
            "This replica has no group yet. Remedy: query another replica.",
          ],
        };
      }
      const { isForwarded = false } = parameters as { isForwarded?: boolean };
      return readGroupStatus({ group, pool: options.pool, isForwarded });
    },
  });
  return {
    publish: ({ version }, source) => publish({ version, source }),
    readDocument,
    startRollout: (order) => rolloutOrders.start(order),
    readRollout: (service) => rolloutOrders.read(service),
    recordUnreadable: (name, problem) =>
      updates.recordUnreadable(name, problem),
    mergeUpstream: (record) => updates.merge(record),
    removeUpstream: (name, born) => updates.remove(name, born),
    stop: async () => {
      clearInterval(expiryTimer);
      isStopping = true;
      originStore.close();
      stopGroupServices();
      await group?.stop();
    },
  };
}

function describeFailure(error: unknown): string {
  const { message } = (error ?? {}) as { message?: string };
  return message ?? String(error);
}

/** Whether all ready upstreams of a service, at least one, run a version. */
function isVersionInPlace(
  { service, destination }: RolloutOrder,
  hub: Hub,
): boolean {
  let count = 0;
  for (const { record } of hub.directory.list()) {
    if (record.service === service && record.state === "ready") {
      if (record.version !== destination) {
        return false;
      }
      count += 1;
    }
  }
  return count > 0;
}

/** Starts the services that need a group. */
function startGroupServices(
  group: ReplicaGroup,
  options: StartOptions & {
    hub: Hub;
    usageStore: UsageStore;
    suspectStore: SuspectStore;
    documents: DocumentCache;
  },
): { stop: () => void } {
  const { hub, usageStore, suspectStore, clock, log, calls, pool, documents } =
    options;
  // The data folder must be empty until the replica has written its identity.
  usageStore.start();
  suspectStore.start();
  const reader = new FeedReader({
    hub,
    clock,
    pool,
    log: log("operations"),
    isUrgent: () =>
      group.leadership !== undefined || hub.isPrimary(clock.steady()),
    peers: () =>
      group.addresses.filter((address) => address !== group.ownAddress),
  });
  const settings = options.settings();
  const leaderTasks = calls === undefined ? undefined : new LeaderTaskRunner({
    name: settings.name,
    hub,
    clock,
    log: log("duties"),
    calls,
    leadership: () => group.leadership,
    propose: (command) => group.propose(command),
    settled: () => group.application.settled,
    rollouts: () => group.application.rollouts,
    services: () =>
      documents.decode(group.application.document)?.services ?? [],
    fleet: options.fleet,
    isFirstStart: settings.isFirstStart,
    usageWindow: settings.usageWindow,
    usageDelay: settings.usageDelay,
    leaderTaskLease: settings.leaderTaskLease,
  });
  const rolloutRunner = new RolloutRunner({
    group,
    hub,
    clock,
    limits: settings.rolloutLimits,
    log: log("rollouts"),
    metrics: options.metrics,
  });
  return {
    stop: () => {
      rolloutRunner.stop();
      usageStore.stop();
      suspectStore.stop();
      reader.stop();
      leaderTasks?.stop();
    },
  };
}

/** Names of the services in a configuration document, if there is one. */
function serviceNamesOf(
  document: ServingDocument | undefined,
): ReadonlySet<string> | undefined {
  return document && new Set(document.services.map(({ name }) => name));
}
