import { type Clock, createToken, type Milliseconds } from "@heroncleat/base";
import type { GroupState } from "@heroncleat/consensus";
import {
  type FeedRequest,
  type FleetSettings,
  Hub,
  type ServingDocument,
  type SyncReply,
  type SyncRequest,
  type UpstreamRecord,
} from "@heroncleat/serving";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { DecodedDocument } from "../gateway/decoded_document.ts";
import { CrashStore } from "./crash_store.ts";
import { DocumentCache } from "./document_cache.ts";
import type { DutyCalls } from "./duty_calls.ts";
import { DutyRunner } from "./duty_runner.ts";
import { FeedReader } from "./feed_reader.ts";
import type { HubSettings } from "./hub_settings.ts";
import { hubCalls } from "./hub_calls.ts";
import type { PublishOutcome } from "./publish_outcome.ts";
import { ReplicaGroup } from "./replica_group.ts";
import type { RunningHub } from "./running_hub.ts";
import { UpstreamUpdates } from "./upstream_updates.ts";
import { UsageStore } from "./usage_store.ts";

/** Characters of somebody else's text that a log line holds. */
const MOST_LOGGED = 200;
const EXPIRE_INTERVAL: Milliseconds = 1000;
/** Pause before a replica whose disk failed is opened again. */
const REOPEN_PAUSE: Milliseconds = 1000;

/** What the control side is started with. */
type StartOptions = {
  readonly settings: () => HubSettings;
  readonly fleet: FleetSettings;
  readonly decodeDocument: (source: string) => DecodedDocument;
  /** Absent where nothing is ordered or reported. */
  readonly calls: DutyCalls | undefined;
  readonly pool: PeerPool;
  readonly serve: (methods: Readonly<Record<string, MethodHandler>>) => void;
  readonly clock: Clock;
  readonly log: (part: string) => Log;
  readonly metrics: Metrics;
};

/** Joins the control group and serves entries. */
export async function startHub(options: StartOptions): Promise<RunningHub> {
  const hub = new Hub(createToken());
  const { clock } = options;
  const store = new UsageStore({
    hub,
    folder: options.settings().dataFolder,
    log: options.log("operations"),
  });
  await store.read();
  const crashStore = new CrashStore({
    book: hub.crashes,
    folder: options.settings().dataFolder,
    clock,
    log: options.log("crashes"),
  });
  await crashStore.read();
  let group: ReplicaGroup | undefined;
  const exchangeLog = options.log("exchange");
  const sync = (request: SyncRequest): SyncReply => {
    const reply = hub.sync(request, {
      now: clock.steady(),
      document: group?.isConfirmed ? group.application.document : undefined,
      controls: group?.addresses ?? [],
      isLeading: group?.leadership !== undefined,
    });
    if (reply.needsWhole) {
      options.metrics.increment("exchange.divergences");
      exchangeLog.info("Asks an entry for all its counters", {
        entry: request.entry.name.slice(0, MOST_LOGGED),
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
    services: () => servicesOf(documents.decode(group?.application.document)),
  });
  await updates.restore();
  options.serve({
    "hub.sync": (parameters) => sync(parameters as SyncRequest),
    "hub.feed": (parameters) =>
      hub.createFeedReply(parameters as FeedRequest, clock.steady()),
    ...updates.methods(),
    [hubCalls.suspects]: () => hub.crashes.list(clock.steady()),
    [hubCalls.clearSuspect]: (parameters) => {
      const { request } = parameters as { request: string };
      const isNews = hub.crashes.recordCompletion(request, clock.steady());
      operations.info("An operator clears a request", {
        request,
        known: isNews ? "yes" : "no",
      });
      return isNews;
    },
  });
  const expiry = setInterval(() => {
    hub.expire(clock.steady());
    updates.expire();
  }, EXPIRE_INTERVAL);
  let stopParts = () => {};
  let isStopping = false;
  const log = options.log("group");
  const start = async (): Promise<void> => {
    if (isStopping) {
      return;
    }
    try {
      const formed = await ReplicaGroup.start({ ...options, onFailure });
      group = formed;
      stopParts = run(formed, {
        ...options,
        hub,
        store,
        crashStore,
        documents,
      }).stop;
    } catch (error) {
      onFailure(error);
    }
  };
  const onFailure = (error: unknown) => {
    log.error("The replica can't go on and will be opened again", {
      error: describeFailure(error),
    });
    group = undefined;
    stopParts();
    setTimeout(() => void start(), REOPEN_PAUSE);
  };
  void start();
  const publish = async (
    { version, source }: { version: number; source: string },
  ): Promise<PublishOutcome> => {
    const outcome = await group?.propose({
      kind: "publish",
      version,
      source,
    });
    const published = outcome?.kind === "done" ? "accepted" : "unavailable";
    operations.info(`Configuration sent by an operator: ${published}`, {
      version,
      versionBefore: group?.application.document?.version ?? -1,
      outcome: outcome?.kind ?? "no_group",
    });
    return published;
  };
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
    [hubCalls.mergeUpstream]: (parameters) =>
      updates.merge((parameters as { record: UpstreamRecord }).record),
    [hubCalls.removeUpstream]: (parameters) => {
      const { name, born } = parameters as { name: string; born?: number };
      return updates.remove(name, born);
    },
    [hubCalls.status]: (): GroupState =>
      group?.state ?? {
        leader: "",
        members: [],
        promised: options.settings().promisedLosses,
        unkept: ["This replica has no group yet. Remedy: ask another one."],
      },
  });
  return {
    publish: ({ version }, source) => publish({ version, source }),
    readDocument,
    noteUnreadable: (name, problem) => updates.noteUnreadable(name, problem),
    mergeUpstream: (record) => updates.merge(record),
    removeUpstream: (name, born) => updates.remove(name, born),
    stop: async () => {
      clearInterval(expiry);
      isStopping = true;
      stopParts();
      await group?.stop();
    },
  };
}

function describeFailure(error: unknown): string {
  const { message } = (error ?? {}) as { message?: string };
  return message ?? String(error);
}

/** Starts what needs a group. */
function run(
  group: ReplicaGroup,
  options: StartOptions & {
    hub: Hub;
    store: UsageStore;
    crashStore: CrashStore;
    documents: DocumentCache;
  },
): { stop: () => void } {
  const { hub, store, crashStore, clock, log, calls, pool, documents } =
    options;
  // Only now the folder has its identity; nothing may be in it before.
  store.start();
  crashStore.start();
  const reader = new FeedReader({
    hub,
    clock,
    pool,
    log: log("operations"),
    peers: () =>
      group.addresses.filter((address) => address !== group.ownAddress),
  });
  const settings = options.settings();
  const duties = calls === undefined ? undefined : new DutyRunner({
    name: settings.name,
    hub,
    clock,
    log: log("duties"),
    calls,
    leadership: () => group.leadership,
    propose: (command) => group.propose(command),
    settled: () => group.application.settled,
    services: () =>
      documents.decode(group.application.document)?.services ?? [],
    fleet: options.fleet,
    isFirstStart: settings.isFirstStart,
    usageWindow: settings.usageWindow,
    usageDelay: settings.usageDelay,
    dutyLease: settings.dutyLease,
  });
  return {
    stop: () => {
      store.stop();
      crashStore.stop();
      reader.stop();
      duties?.stop();
    },
  };
}

/** Names of the services of a configuration, if there is one. */
function servicesOf(
  document: ServingDocument | undefined,
): ReadonlySet<string> | undefined {
  return document && new Set(document.services.map(({ name }) => name));
}
