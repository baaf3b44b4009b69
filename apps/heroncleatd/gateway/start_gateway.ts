import { connect } from "node:net";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import {
  createToken,
  listenAt,
  type Milliseconds,
  ownValue,
  splitAddress,
  timerDelay,
} from "@heroncleat/base";
import {
  followedShare,
  type FollowedShares,
  idleConnectionLimit,
  type KnownEntry,
  LeasedShare,
  limitDocumentNumbers,
  listServiceRanks,
  type PermitReply,
  PossibleOrigins,
  RateLimitRegistry,
  RevisionCounter,
  RouteTable,
  SendPermits,
  SuspectRegistry,
  UpstreamBalancer,
  UpstreamDirectory,
  UpstreamStatements,
  UsageCounts,
  WorkspaceQuota,
} from "@heroncleat/serving";
import { LoadShedder } from "@heroncleat/shedding";
import type { Log } from "../common/log.ts";
import type { AppliedDocument } from "./applied_document.ts";
import type { CallerLimits } from "./caller_limits.ts";
import { ChargeSync } from "./exchange/charge_sync.ts";
import { createCallerServer } from "./create_caller_server.ts";
import { ControlLinks } from "./exchange/control_links.ts";
import { serveInTurn } from "../common/serve_in_turn.ts";
import { SuspectWatcher } from "../common/suspect_watcher.ts";
import { EntryExchange } from "./exchange/entry_exchange.ts";
import { EntryNotices } from "./exchange/entry_notices.ts";
import type { ForwardContext } from "./forward_context.ts";
import { Latch } from "./latch.ts";
import { Gateway } from "./gateway.ts";
import { DepartureDeadline } from "./shutdown/departure_deadline.ts";
import type { ConnectionOpener } from "../common/connection_opener.ts";
import { BodyMemory } from "../common/body_memory.ts";
import { defaultChunkLimit } from "../common/default_chunk_limit.ts";
import { MemoryMonitor } from "../common/memory_monitor.ts";
import { probeUpstream } from "../common/probe_upstream.ts";
import { QuotaCharger } from "./limits/quota_charger.ts";
import { PermitClient } from "./limits/permit_client.ts";
import { RateLimitWatcher } from "../common/rate_limit_watcher.ts";
import { refusesConnections } from "../common/refuses_connections.ts";
import { tryConnection } from "../common/try_connection.ts";
import { describeChange } from "./responses/describe_change.ts";
import { ReplacedRuns } from "./upstreams/replaced_runs.ts";
import { RetryLimiter } from "./limits/retry_limiter.ts";
import type { RunningGateway } from "./running_gateway.ts";
import { StatementWatcher } from "../common/statement_watcher.ts";
import { UnfinishedBodies } from "../common/unfinished_bodies.ts";
import { ServiceReturnTimes } from "./limits/service_return_times.ts";
import type { GatewayOptions } from "./start_gateway_options.ts";
import { RolloutWatcher } from "./exchange/rollout_watcher.ts";
import { InFlightRequests } from "./shutdown/in_flight_requests.ts";
import { RequestProgress } from "./shutdown/request_progress.ts";
import { Shutdown } from "./shutdown/shutdown.ts";
import { ReachabilityWatcher } from "./relay/reachability_watcher.ts";
import { Relay } from "./relay/relay.ts";
import { RelayedRequests } from "./relay/relayed_requests.ts";
import { NoticeHandler } from "./exchange/notice_handler.ts";
import { recordStream } from "./streams/record_stream.ts";
import { OriginArchive } from "./streams/origin_archive.ts";
import { StreamOriginExchange } from "./streams/stream_origin_exchange.ts";
import { BreakWatcher } from "./upstreams/break_watcher.ts";
import { UpstreamAgent } from "./upstreams/upstream_agent.ts";
import { UpstreamAgents } from "./upstreams/upstream_agents.ts";

/** Connections that may wait to be accepted. */
const LISTEN_BACKLOG = 1024;
/** Idle connections to other entries for requests that are passed on. */
const MAX_IDLE_RELAYS = 32;
const CLEANUP_INTERVAL_MS = 5000;
/** Interval at which runs of replaced upstream instances are checked. */
const REPLACED_RUNS_INTERVAL_MS = 250;
/**
 * Interval of direct exchanges of charges while no control replica is
 * reachable.
 */
const DIRECT_EXCHANGE_INTERVAL_MS = 200;

/**
 * Time after a contact with the leading replica for which an entry uses its
 * share of the retries, as a part of the retry window.
 */
const RETRY_LEASE_SHARE = 0.3;

/** Listens for callers and starts the exchanges with the control replicas. */
export async function startGateway(
  options: GatewayOptions,
): Promise<RunningGateway> {
  const running = new GatewayProcess(options);
  await running.listen();
  return {
    listEntries: () => running.listEntries(),
    isReady: () => running.isReady,
    listInFlight: () => running.listInFlight(),
    describeChange: () => running.describeChange(),
    stop: (signalledAt) => running.stop(signalledAt),
    stopAfterFailure: () => running.stopAfterFailure(),
  };
}

class GatewayProcess {
  readonly #options: GatewayOptions;
  readonly #incarnation = createToken();
  readonly #statements = new UpstreamStatements(Math.random);
  readonly #directory = new UpstreamDirectory((id) =>
    this.#statements.leavingSince(id)
  );
  readonly #choice: UpstreamBalancer;
  readonly #shedder = new LoadShedder({ random: Math.random });
  readonly #agents: UpstreamAgents;
  readonly #breaks: BreakWatcher;
  readonly #connect: ConnectionOpener;
  readonly #retryShare: LeasedShare;
  readonly #retries: RetryLimiter;
  readonly #returnTimes = new ServiceReturnTimes();
  readonly #revisions = new RevisionCounter();
  readonly #rateLimits = new RateLimitRegistry(this.#revisions);
  readonly #rateLimitWatcher: RateLimitWatcher;
  readonly #statementWatcher: StatementWatcher;
  readonly #permits: SendPermits;
  readonly #permitClient: PermitClient;
  readonly #suspectRegistry = new SuspectRegistry({
    revisions: this.#revisions,
    countUpstreams: (service) => this.#directory.countReady(service),
  });
  readonly #suspectWatcher: SuspectWatcher;
  readonly #rollouts: RolloutWatcher;
  readonly #usage: UsageCounts;
  readonly #quota: WorkspaceQuota;
  readonly #links: ControlLinks;
  /** Shares of the upstreams that this entry follows. */
  #followed: FollowedShares = {};
  readonly #notices: EntryNotices;
  readonly #noticeHandler: NoticeHandler;
  readonly #chargeSync: ChargeSync;
  readonly #exchange: EntryExchange;
  readonly #gateway: Gateway;
  readonly #inFlight = new InFlightRequests();
  readonly #possibleOrigins = new PossibleOrigins();
  readonly #streams: StreamOriginExchange;
  readonly #reachability: ReachabilityWatcher;
  readonly #relayAgent = new UpstreamAgent(() => MAX_IDLE_RELAYS, connect);
  readonly #server: Server;
  readonly #shutdown: Shutdown;
  /** Accepts requests that other entries pass on. */
  readonly #relayServer: Server;
  readonly #cleanupTimer: NodeJS.Timeout;
  readonly #replacedRuns: ReplacedRuns;
  readonly #replacedRunsTimer: NodeJS.Timeout;
  readonly #bodies: BodyMemory;
  readonly #memoryMonitor: MemoryMonitor | undefined;
  /** Set while no control replica is reachable. */
  #directExchangeTimer: NodeJS.Timeout | undefined;
  readonly #log: Log;
  #routeTable: RouteTable | undefined;
  #appliedDocument: AppliedDocument = { version: -1, at: 0 };
  readonly #routeTableLatch = new Latch();
  readonly #departureDeadline: DepartureDeadline;
  /** Monotonic time since which callers are served. */
  #listensSince: Milliseconds = Infinity;

  constructor(options: GatewayOptions) {
    this.#options = options;
    const { clock, pool } = options;
    this.#bodies = new BodyMemory(clock, options.settings());
    this.#choice = new UpstreamBalancer({
      statements: this.#statements,
      drainTimeout: () => options.settings().drainTimeout,
    });
    this.#connect = options.connect ?? connect;
    this.#agents = new UpstreamAgents(
      (upstream) => this.#maxIdleConnections(upstream),
      this.#connect,
      { clock, onIdleBreak: (upstream) => this.#breaks.recordBreak(upstream) },
    );
    this.#breaks = new BreakWatcher({
      directory: this.#directory,
      agentOf: (upstream) => this.#agents.get(upstream),
      isResumable: (service) =>
        this.#routeTable?.hasResumableRoute(service) ?? false,
      keepsConnection: async (address, hold) => {
        const options = { hold, connect: this.#connect };
        const trial = await tryConnection(address, options);
        return trial === "kept" || trial === "untried";
      },
      areLinksInDoubt: (service) =>
        this.#reachability.isCutOff(service) ||
        this.#reachability.isInDoubt(service),
      report: (upstream) => this.#noticeHandler.reportBreak(upstream),
      log: options.log("gateway"),
      metrics: options.metrics,
    });
    this.#departureDeadline = new DepartureDeadline(clock);
    const settings = options.settings();
    this.#log = options.log("gateway");
    this.#retryShare = new LeasedShare({
      lease: settings.retryWindow * RETRY_LEASE_SHARE,
      window: settings.retryWindow,
      isFresh: settings.quota.isFresh,
    });
    this.#retries = new RetryLimiter({
      settings: options.settings,
      clock,
      log: this.#log,
      metrics: options.metrics,
      share: this.#retryShare,
    });
    this.#usage = new UsageCounts(settings.usageWindow);
    this.#quota = new WorkspaceQuota(settings.quota);
    this.#reachability = new ReachabilityWatcher({
      clock,
      log: this.#log,
      metrics: options.metrics,
      listUpstreams: () => this.#directory.list(),
      probe: (address) => probeUpstream(address, this.#connect),
      onChange: () => this.#links.reportToAll(),
      closeIdle: (upstream) => this.#agents.closeIdle(upstream),
      random: Math.random,
    });
    this.#suspectWatcher = new SuspectWatcher({
      registry: this.#suspectRegistry,
      clock,
      log: this.#log,
      metrics: options.metrics,
      probe: (address) => this.#reachability.mayRun(address),
      isReplaced: (upstream) => this.#directory.hasRestarted(upstream),
      serviceOf: (upstream) => {
        const record = this.#directory.get(upstream)?.record;
        return record?.state === "ready" ? record.service : undefined;
      },
      onCrash: (upstream, at) => this.#choice.recordCrash(upstream, at),
      // Sent both ways: the control replicas deliver suspects reliably, while
      // datagrams are faster and also work without a reachable replica.
      report: (updates) => {
        this.#links.reportToAll();
        this.#noticeHandler.reportSuspects(updates);
      },
    });
    this.#rateLimitWatcher = new RateLimitWatcher({
      registry: this.#rateLimits,
      header: options.names.rateLimit,
      rejectionHeader: options.names.rejectionLimit,
      clock,
      trueTime: (monotonic) => this.#links.trueTime(monotonic),
      log: this.#log,
      metrics: options.metrics,
      report: (limit) => {
        this.#notices.broadcast({ kind: "rate_limit", ...limit });
        this.#links.reportToAll();
      },
    });
    this.#statementWatcher = new StatementWatcher({
      statements: this.#statements,
      rateLimits: this.#rateLimitWatcher,
      leavingHeader: options.names.leaving,
      clock,
      log: this.#log,
      metrics: options.metrics,
      onLeaving: (upstream) => this.#directory.applyLeaving(upstream),
    });
    this.#permits = new SendPermits({
      limits: this.#rateLimits,
      entry: settings.name,
      trueTime: (monotonic) => this.#links.trueTime(monotonic),
    });
    this.#permitClient = new PermitClient({
      entry: settings.name,
      permits: this.#permits,
      limits: this.#rateLimits,
      clock,
      metrics: options.metrics,
      call: async (request) =>
        await this.#links.callPrimary("hub.permits", request) as
          | PermitReply
          | undefined,
    });
    this.#rollouts = new RolloutWatcher({
      clock,
      listUpstreams: () => this.#directory.list(),
      random: Math.random,
    });
    this.#links = new ControlLinks({
      isUsableEntry: (entry, from) => this.#exchange.isUsableEntry(entry, from),
      pool,
      clock,
      log: options.log("links"),
      seeds: () => options.settings().seeds,
      createRequest: (position) => this.#exchange.createRequest(position),
      onReply: (reply, source) => this.#exchange.applyReply(reply, source),
      suspectRevision: () => this.#suspectRegistry.revision,
      onFollow: (shares) => this.#follow(shares),
      onIsolated: () => this.#onIsolated(),
      isAwaitingConfiguration: () => this.#routeTable === undefined,
      random: Math.random,
    });
    this.#notices = new EntryNotices({
      address: settings.noticeAddress,
      peers: () => this.#exchange.peers,
      onNotice: (notice, from) => this.#noticeHandler.receive(notice, from),
      strangerBytesPerSecond: settings.limits?.strangerBytesPerSecond,
      clock,
      log: options.log("entry_notices"),
      metrics: options.metrics,
    });
    this.#streams = new StreamOriginExchange({
      entry: settings.name,
      clock,
      metrics: options.metrics,
      possibleOrigins: this.#possibleOrigins,
      confirmCurrent: () => this.#links.confirmCurrent(),
      isRolledOut: (service) => this.#rollouts.isInProgress(service),
      findRoute: (name) => this.#routeTable?.findRouteNamed(name),
      listEntries: () => this.listEntries(),
      archive: new OriginArchive({
        entry: settings.name,
        clock,
        metrics: options.metrics,
        pool: options.pool,
        replicas: () => this.#links.replicas,
      }),
      send: (notice, to) => this.#notices.sendOfStream(notice, to),
    });
    this.#chargeSync = new ChargeSync({
      entry: settings.name,
      boot: this.#incarnation,
      quota: this.#quota,
      broadcast: (notice) => this.#notices.broadcast(notice),
      reply: (notice, host) => this.#notices.reply(notice, host),
      clock,
      log: this.#log,
      metrics: options.metrics,
      isConnected: () => this.#links.isConnected,
      isOpen: () => this.isReady,
      countEntries: () => this.#exchange.entryCount,
      routeTable: () => this.#routeTable,
    });
    this.#noticeHandler = new NoticeHandler({
      clock,
      broadcast: (notice) => this.#notices.broadcast(notice),
      directory: this.#directory,
      breaks: this.#breaks,
      choice: this.#choice,
      suspects: this.#suspectWatcher,
      rateLimits: this.#rateLimitWatcher,
      charges: this.#chargeSync,
      streams: this.#streams,
    });
    this.#exchange = new EntryExchange({
      settings: options.settings,
      boot: this.#incarnation,
      clock,
      log: this.#log,
      metrics: options.metrics,
      directory: this.#directory,
      choice: this.#choice,
      shedder: this.#shedder,
      agents: this.#agents,
      statements: this.#statements,
      quota: this.#quota,
      usage: this.#usage,
      charges: this.#chargeSync,
      retryShare: this.#retryShare,
      crashes: this.#suspectWatcher,
      suspectRegistry: this.#suspectRegistry,
      rateLimits: this.#rateLimits,
      rateLimitWatcher: this.#rateLimitWatcher,
      permits: this.#permits,
      rollouts: this.#rollouts,
      possibleOrigins: this.#possibleOrigins,
      streams: this.#streams,
      isOpen: () => this.isReady,
      listUnreachable: () => this.#reachability.listCutOff(),
      documentVersion: () => this.#routeTable?.document.version ?? -1,
      onDocument: (source) => this.#applyConfiguration(source),
      listEntries: () => this.#links.listEntries(),
    });
    const forwarding = this.#createContext();
    const chunkLimit = () =>
      options.settings().limits?.chunks ?? defaultChunkLimit;
    const clockAhead = () =>
      clock.wall() - this.#links.trueTime(clock.steady());
    const unfinished = {
      callers: new UnfinishedBodies(),
      relays: new UnfinishedBodies(),
    };
    this.#gateway = new Gateway({
      names: options.names,
      readPrompt: options.readPrompt,
      clock,
      log: this.#log,
      metrics: options.metrics,
      quota: this.#quota,
      charger: new QuotaCharger({
        quota: this.#quota,
        clock,
        refresh: () => this.#links.refresh(),
        report: () => this.#links.reportToPrimary(),
      }),
      routeTable: () => this.#routeTable,
      waitForRouteTable: (timeout) => this.#routeTableLatch.wait(timeout),
      forwarding,
      streams: this.#streams,
      inFlight: this.#inFlight,
      requestBudget: this.#bodies.requests,
      unfinished: unfinished.callers,
      appliedDocument: () => this.#appliedDocument,
      chunkLimit,
      leaving: this.#departureDeadline,
      clockAhead,
      random: Math.random,
    });
    const relayed = new RelayedRequests({
      ...options,
      appliedDocument: () => this.#appliedDocument,
      log: this.#log,
      routeTable: () => this.#routeTable,
      forwarding,
      inFlight: this.#inFlight,
      requestBudget: this.#bodies.requests,
      unfinished: unfinished.relays,
      chunkLimit,
      clockAhead,
    });
    this.#relayServer = createCallerServer(
      serveInTurn((incoming, response) => {
        void relayed.handle(incoming, response);
      }, { clock, onWaiting: this.#addWaiting }),
      this.#serverLimits("relays", unfinished.relays),
    );
    this.#server = createCallerServer(
      serveInTurn((incoming, response, arrival) => {
        void this.#gateway.handle(incoming, response, arrival);
      }, {
        clock,
        onWaiting: this.#addWaiting,
        isClosing: () => this.#departureDeadline.hasBegun,
      }),
      this.#serverLimits("callers", unfinished.callers),
    );
    this.#shutdown = this.#createShutdown();
    this.#replacedRuns = new ReplacedRuns({
      listRetired: () => this.#agents.listRetired(),
      directory: this.#directory,
      probe: (address) => probeUpstream(address, this.#connect),
      log: this.#log,
    });
    this.#replacedRunsTimer = setInterval(
      () => void this.#replacedRuns.check(),
      REPLACED_RUNS_INTERVAL_MS,
    );
    this.#memoryMonitor = this.#createMemoryMonitor();
    this.#cleanupTimer = setInterval(
      () => this.#cleanUp(),
      CLEANUP_INTERVAL_MS,
    );
  }

  get isReady(): boolean {
    return this.#routeTable !== undefined &&
      !this.#departureDeadline.hasBegun;
  }

  async listen(): Promise<void> {
    const { address, relayAddress } = this.#options.settings();
    const listenOptions = {
      backlog: LISTEN_BACKLOG,
      onWait: (message: string) => this.#log.warn(message),
    };
    await listenAt(this.#server, address, listenOptions);
    this.#listensSince = this.#options.clock.steady();
    await listenAt(this.#relayServer, relayAddress, listenOptions);
    this.#links.start();
    this.#memoryMonitor?.start();
    this.#log.info("Listens for callers", { address });
  }

  listEntries(): readonly KnownEntry[] {
    const entries = this.#links.listEntries();
    if (entries.length > 0 || !this.isReady) {
      return entries;
    }
    return this.#exchange.listReachableEntries();
  }

  listInFlight(): readonly string[] {
    return this.#inFlight.listSince(-Infinity).map(({ request }) => request);
  }

  describeChange(): ReturnType<RunningGateway["describeChange"]> {
    return describeChange(this.#appliedDocument, this.#options.clock);
  }

  async stop(signalledAt?: Milliseconds): Promise<void> {
    await this.#shutdown.begin(signalledAt);
  }

  async stopAfterFailure(): Promise<void> {
    await this.#shutdown.beginAfterFailure();
  }

  #createShutdown(): Shutdown {
    const { clock, metrics, settings } = this.#options;
    return new Shutdown({
      clock,
      log: this.#log,
      metrics,
      gracePeriod: () => settings().gracePeriod,
      deadline: this.#departureDeadline,
      inFlight: this.#inFlight,
      server: this.#server,
      relayServer: this.#relayServer,
      appliedDocument: () => this.#appliedDocument,
      listensSince: () => this.#listensSince,
      onBegin: () => this.#links.exchangeWithAll(),
      onEnd: () => this.#close(),
    });
  }

  /** Ends what goes on without callers. */
  #close(): void {
    this.#reachability.stop();
    this.#relayAgent.destroy();
    this.#links.stop();
    this.#notices.close();
    this.#memoryMonitor?.stop();
    clearInterval(this.#cleanupTimer);
    clearInterval(this.#replacedRunsTimer);
    clearInterval(this.#directExchangeTimer);
    this.#agents.closeAll();
  }

  /** Adds a request that waits for others of its connection. */
  readonly #addWaiting = (
    { headers }: IncomingMessage,
    response: ServerResponse,
    { arrivedAt }: { readonly arrivedAt: Milliseconds },
  ): () => void => {
    const request = String(headers[this.#options.names.attempt] ?? "");
    const progress = new RequestProgress();
    return this.#inFlight.add({ request, arrivedAt, response, progress });
  };

  #createContext(): ForwardContext {
    const { names, clock, metrics, settings } = this.#options;
    return {
      names,
      clock,
      metrics,
      log: this.#log,
      bodies: this.#bodies,
      zone: settings().zone,
      choice: this.#choice,
      shedder: this.#shedder,
      directory: this.#directory,
      crashes: this.#suspectWatcher,
      statements: this.#statements,
      statementWatcher: this.#statementWatcher,
      permits: this.#permits,
      permitClient: this.#permitClient,
      returnTimesOf: (service) => this.#returnTimes.of(service),
      rollouts: this.#rollouts,
      reachability: this.#reachability,
      relay: this.#createRelay(),
      leaving: this.#departureDeadline,
      engineOf: (service) => this.#routeTable?.findService(service)?.engine,
      announceDispatch: (notice) =>
        this.#noticeHandler.announceDispatch(notice),
      reportFailure: (upstream) => this.#noticeHandler.reportFailure(upstream),
      breaks: this.#breaks,
      refusesConnections: (address, hold) =>
        refusesConnections(address, { hold, connect: this.#connect }),
      agentOf: (upstream) => this.#agents.get(upstream),
      retries: this.#retries,
      isSynced: () => this.#links.isConnected,
      syncAge: () => this.#links.syncAge,
      recordStream: (call, version) =>
        recordStream(call, { version, streams: this.#streams }),
      countUsage: (workspace, startedAt) =>
        this.#usage.count(workspace, this.#links.trueTime(startedAt)),
    };
  }

  #serverLimits(
    name: keyof CallerLimits["connections"],
    unfinished: UnfinishedBodies,
  ): Parameters<typeof createCallerServer>[1] {
    const { settings, metrics } = this.#options;
    return {
      connections: {
        limit: () => settings().limits?.connections?.[name] ?? Infinity,
        giveUpBody: () => unfinished.giveUpOldest(),
        metrics,
        log: this.#log,
        name,
      },
      maxWaitingBytes: () => settings().limits?.waitingBytes,
    };
  }

  #createMemoryMonitor(): MemoryMonitor | undefined {
    const { memoryLimit } = this.#options.settings();
    return memoryLimit === undefined ? undefined : new MemoryMonitor({
      limit: memoryLimit,
      log: this.#log,
      resident: () => process.memoryUsage.rss(),
      describe: () => ({
        inFlight: this.#inFlight.size,
        ...this.#bodies.describe(),
      }),
    });
  }

  #createRelay(): Relay {
    const { names, clock, metrics, secret } = this.#options;
    const { name, zone, region, relayAddress } = this.#options.settings();
    return new Relay({
      name,
      zone,
      region,
      port: splitAddress(relayAddress).port,
      secret,
      listEntries: () => this.listEntries(),
      agent: this.#relayAgent,
      names,
      clock,
      metrics,
      random: Math.random,
    });
  }

  #applyConfiguration(source: string): void {
    const decoded = this.#options.decodeDocument(source);
    if (decoded.kind === "unreadable") {
      this.#log.error("Can't decode the configuration document", {
        problem: decoded.problem,
      });
      return;
    }
    const document = limitDocumentNumbers(decoded.document);
    const currentVersion = this.#routeTable?.document.version ?? -1;
    if (document.version > currentVersion) {
      this.#routeTable = new RouteTable(document);
      const now = this.#options.clock.steady();
      this.#appliedDocument = { version: document.version, at: now };
      this.#possibleOrigins.applyRoutes(document.routes, now);
      this.#shedder.setRanks(listServiceRanks(document));
      this.#streams.shareNewlyAmbiguous();
      this.#routeTableLatch.release();
      const { idleTimeout, headerTimeout } = document.limits;
      this.#server.keepAliveTimeout = timerDelay(idleTimeout);
      this.#server.headersTimeout = timerDelay(headerTimeout);
      this.#log.info("Applied a configuration document", {
        version: document.version,
      });
    }
  }

  #exchangeChargesDirectly(): void {
    if (this.#links.isConnected) {
      clearInterval(this.#directExchangeTimer);
      this.#directExchangeTimer = undefined;
      return;
    }
    // Nothing is charged before the first configuration document.
    if (this.#routeTable !== undefined) {
      this.#chargeSync.exchangeDirectly();
    }
  }

  /** Idle connections to keep to an upstream; none if its service is unknown. */
  #maxIdleConnections(upstream: string): number {
    const name = this.#directory.get(upstream)?.record.service ?? "";
    const service = this.#routeTable?.findService(name);
    return idleConnectionLimit({
      maxConnections: service?.maxConnections ?? 0,
      entryCount: this.#exchange.entryCount *
        (ownValue(this.#followed, name) ?? 1),
      entry: this.#options.settings().name,
      upstream,
    });
  }

  #follow(shares: FollowedShares): void {
    if (JSON.stringify(shares) === JSON.stringify(this.#followed)) {
      return;
    }
    this.#followed = shares;
    const { name } = this.#options.settings();
    this.#directory.limit((upstream) =>
      followedShare.includes(
        name,
        upstream.name,
        ownValue(shares, upstream.service) ?? 1,
      )
    );
    this.#log.info("Follows a part of the upstreams", { ...shares });
  }

  #onIsolated(): void {
    this.#chargeSync.isolate();
    this.#permits.recordIsolation(this.#options.clock.steady());
    this.#directExchangeTimer ??= setInterval(
      () => this.#exchangeChargesDirectly(),
      DIRECT_EXCHANGE_INTERVAL_MS,
    );
    this.#log.warn(
      "No control replica is reachable; continuing with the last known state",
    );
  }

  #cleanUp(): void {
    this.#streams.expire();
    this.#suspectWatcher.expire();
    this.#directory.expire(this.#options.clock.steady());
    const isGone = (id: string) => this.#directory.get(id) === undefined;
    this.#statementWatcher.expire(isGone);
    this.#permits.removeWhere(isGone, this.#options.clock.steady());
    this.#agents.retireWhere(isGone);
    for (const id of this.#agents.removeUnused()) {
      this.#choice.forget(id);
    }
  }
}
