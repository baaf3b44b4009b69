import { createSystemClock } from "@heroncleat/base";
import {
  type Route,
  RouteKind,
  type ServingDocument,
  type SyncReply,
  type UpstreamRecord,
} from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import type { GatewaySettings } from "./gateway_settings.ts";
import type { RunningGateway } from "./running_gateway.ts";
import { startGateway } from "./start_gateway.ts";
import type { GatewayOptions } from "./start_gateway_options.ts";
import { testHeaderNames } from "./test_header_names.ts";

const SILENT_LOG: Log = { debug() {}, info() {}, warn() {}, error() {} };
const SILENT_METRICS: Metrics = {
  increment() {},
  gauge() {},
  timing() {},
  close() {},
};

function createRoute(changes: Partial<Route>): Route {
  return {
    name: "desk",
    host: "inn.example",
    pathPrefix: "/",
    kind: RouteKind.idempotent,
    targets: [{ service: "desk", weight: 1 }],
    timeout: 1000,
    latencyObjective: 100,
    priority: 1,
    maxAttempts: 1,
    isPublic: true,
    isResumable: false,
    ...changes,
  };
}

function createDocument(
  routes: readonly Route[],
  changes: Partial<ServingDocument> = {},
): ServingDocument {
  return {
    version: 1,
    routes,
    services: [{
      name: "desk",
      maxConnections: 100,
      engine: undefined,
      scale: undefined,
    }],
    workspaces: [],
    limits: {
      maxHeaderBytes: 4096,
      maxBodyBytes: 2000,
      headerTimeout: 500,
      idleTimeout: 5000,
    },
    ...changes,
  };
}

function createRecord(changes: Partial<UpstreamRecord>): UpstreamRecord {
  return {
    id: "u1",
    name: "u1",
    born: undefined,
    service: "desk",
    address: "",
    zone: "a",
    slots: 50,
    sequence: 1,
    state: "ready",
    isSpot: false,
    leavesIn: undefined,
    ...changes,
  };
}

type ReplySetup = {
  /** Address of the only entry. */
  readonly address: string;
  /** Address of the only control replica. */
  readonly control: string;
  readonly upstreams: readonly UpstreamRecord[];
  readonly document: ServingDocument;
  readonly revision?: number;
};

function createReply(
  { address, control, upstreams, document, revision = 1 }: ReplySetup,
): SyncReply {
  return {
    feed: "f",
    revision,
    isLeading: true,
    upstreams: [...upstreams],
    document: JSON.stringify(document),
    entries: [{ name: "entry", address, zone: "a", region: "r" }],
    controls: [control],
    wall: Date.now(),
    spentByOthers: {},
    shared: { beats: {}, loadsOfOthers: {}, readingSpeeds: {}, quotaShare: 1 },
  };
}

/** Creates a pool whose only control replica always sends the same reply. */
function createPool(reply: SyncReply): PeerPool {
  return {
    notify: () => {},
    call: () => Promise.resolve(reply),
  } as unknown as PeerPool;
}

type GatewaySetup =
  & Pick<GatewaySettings, "address" | "noticeAddress" | "gracePeriod">
  & Partial<Pick<GatewaySettings, "relayAddress" | "limits">>
  & {
    /** Address of the only control replica. */
    readonly control: string;
    /** Calls the control replica. */
    readonly pool: PeerPool;
    readonly log?: Log;
    readonly metrics?: Metrics;
    readonly readPrompt?: GatewayOptions["readPrompt"];
  };

function start(
  {
    control,
    pool,
    log = SILENT_LOG,
    metrics = SILENT_METRICS,
    readPrompt = () => undefined,
    ...settings
  }: GatewaySetup,
): Promise<RunningGateway> {
  return startGateway({
    settings: () => ({
      name: "entry",
      zone: "a",
      region: "r",
      relayAddress: "127.0.0.1:0",
      seeds: [control],
      quota: { isFresh: true, window: 1000, overshoot: 0, tolerance: 0 },
      retryRatio: 0.2,
      retryWindow: 1000,
      retrySlack: 10,
      usageWindow: 1000,
      drainTimeout: 2000,
      ...settings,
    }),
    names: testHeaderNames,
    readPrompt,
    decodeDocument: (source) => ({
      kind: "document",
      document: JSON.parse(source) as ServingDocument,
    }),
    pool,
    secret: "s",
    clock: createSystemClock(),
    log: () => log,
    metrics,
  });
}

/** Starts a whole gateway for a test, and creates what its replica replies. */
export const testGateway = {
  createRoute,
  createDocument,
  createRecord,
  createReply,
  createPool,
  start,
};
