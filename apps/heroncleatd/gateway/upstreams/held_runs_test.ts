import { Agent, createServer, request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import {
  type Route,
  RouteKind,
  type ServingDocument,
  type Workspace,
} from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import { waitUntil } from "../../hub/wait_until.ts";
import { relayGrants } from "../relay/relay_grants.ts";
import { relayHeaders } from "../relay/relay_headers.ts";
import type { RunningGateway } from "../running_gateway.ts";
import { testGateway } from "../test_gateway.ts";

const HOST = "127.0.0.26";
const FIRST_PORT = 25_510;
const PORTS_PER_GATEWAY = 3;
const CONTROL = "hub:1";
const SECRET = "s";
const RUN_TIME_MS = 3000;
const EVENT_INTERVAL_MS = 100;
const EVENT_COUNT = RUN_TIME_MS / EVENT_INTERVAL_MS;
const FIRST_EVENT_TIME_MS = 1500;
/** More than the buffers of all connections on the way hold. */
const LARGE_EVENT_BYTES = 300_000;
const CHANGE_INTERVAL_MS = 350;
const PAUSE_MS = 2500;
const LOG_TIME_MS = 100;
/** Time between two reads of a caller that reads slowly. */
const READ_INTERVAL_MS = 40;
/** Each is played by a gateway of its own. */
const CONCURRENT_CHANGES = 11;

type Run = {
  /** Also the host of the route. */
  readonly name: string;
  readonly kind: Route["kind"];
  readonly isResumable?: boolean;
  readonly firstEventAfter?: number;
  readonly eventBytes?: number;
  readonly isReused?: boolean;
  readonly isRelayed?: boolean;
  readonly reads?: "slowly" | "after a pause";
};

const { streaming, idempotent, nonIdempotent } = RouteKind;
const RUNS: readonly Run[] = [
  { name: "once-stream", kind: streaming },
  { name: "resumable-stream", kind: streaming, isResumable: true },
  { name: "once-call", kind: nonIdempotent },
  { name: "repeatable-call", kind: idempotent },
  { name: "reused-connection", kind: streaming, isReused: true },
  {
    name: "late-event",
    kind: streaming,
    firstEventAfter: FIRST_EVENT_TIME_MS,
  },
  {
    name: "slow-reader",
    kind: streaming,
    eventBytes: LARGE_EVENT_BYTES,
    reads: "slowly",
  },
  {
    name: "paused-reader",
    kind: streaming,
    eventBytes: LARGE_EVENT_BYTES,
    reads: "after a pause",
  },
  { name: "relayed-stream", kind: streaming, isRelayed: true },
  { name: "relayed-call", kind: nonIdempotent, isRelayed: true },
];

/** How the configuration changes, in turn with what it was. */
type Change = (document: ServingDocument) => Partial<ServingDocument>;

const changeRoutes = (changes: Partial<Route>): Change => ({ routes }) => ({
  routes: routes.map((route) => ({ ...route, ...changes })),
});
const changeWorkspaces =
  (changes: Partial<Workspace>): Change => ({ workspaces = [] }) => ({
    workspaces: workspaces.map((each) => ({ ...each, ...changes })),
  });
const changeLimits =
  (changes: Partial<ServingDocument["limits"]>): Change => ({ limits }) => ({
    limits: { ...limits, ...changes },
  });

/** It does end requests that are sent later. */
const LOWER_TIMEOUT = "a lower timeout";

const CHANGES: Readonly<Record<string, Change>> = {
  "nothing but the version": () => ({}),
  "a route added": ({ routes }) => ({
    routes: [...routes, { ...routes[0]!, name: "new", host: "new.example" }],
  }),
  "all routes removed": () => ({ routes: [] }),
  "routes moved": changeRoutes({ host: "moved.example" }),
  "another target": changeRoutes({
    targets: [{ service: "desk", weight: 0 }, { service: "nook", weight: 1 }],
  }),
  [LOWER_TIMEOUT]: changeRoutes({ timeout: 200, latencyObjective: 50 }),
  "a higher timeout": changeRoutes({ timeout: 60_000, latencyObjective: 9000 }),
  "another kind of route": changeRoutes({
    kind: idempotent,
    isResumable: true,
    maxAttempts: 1,
  }),
  "a lower priority": changeRoutes({ priority: 3 }),
  "a workspace added": ({ workspaces = [] }) => ({
    workspaces: [...workspaces, { ...workspaces[0]!, name: "w", keys: ["k"] }],
  }),
  "all workspaces removed": () => ({ workspaces: [] }),
  "a key added": changeWorkspaces({ keys: ["key", "other"] }),
  "a key removed": changeWorkspaces({ keys: ["other"] }),
  "a quota far below its use": changeWorkspaces({ rate: 0.001, burst: 1 }),
  "a higher charge": changeWorkspaces({ defaultCharge: 900, priority: 3 }),
  "no services": () => ({ services: [] }),
  "fewer connections": ({ services }) => ({
    services: services.map((each) => ({ ...each, maxConnections: 1 })),
  }),
  "a lower idle timeout": changeLimits({ idleTimeout: 50 }),
  "a higher idle timeout": changeLimits({ idleTimeout: 60_000 }),
  "a lower header timeout": changeLimits({ headerTimeout: 20 }),
  "a higher header timeout": changeLimits({ headerTimeout: 60_000 }),
  "smaller requests": changeLimits({ maxHeaderBytes: 10, maxBodyBytes: 1 }),
};

function createDocument(): ServingDocument {
  const routes = RUNS.map(({ name, kind, isResumable = false }) =>
    testGateway.createRoute({
      name,
      host: `${name}.example`,
      kind,
      isResumable,
      isPublic: false,
      timeout: 20_000,
      latencyObjective: 4000,
      maxAttempts: 2,
    })
  );
  return testGateway.createDocument(routes, {
    workspaces: [{
      name: "office",
      keys: ["key"],
      priority: undefined,
      rate: 1000,
      burst: 1000,
      defaultCharge: 1,
      countsTokens: false,
    }],
  });
}

const lines: string[] = [];
const log = {
  debug() {},
  info: (message: string, fields = {}) =>
    void lines.push(`${message} ${JSON.stringify(fields)}`),
  warn() {},
  error: (message: string, fields = {}) =>
    void lines.push(`${message} ${JSON.stringify(fields)}`),
};
const started = new Map<string, number>();
/** Runs whose upstream had to wait until the caller read. */
const heldUp = new Set<string>();
let upstream: Server;
let gateways: RunningGateway[] = [];

function eventOf(at: number, { eventBytes = 1 }: Run): string {
  return `id: ${at}\ndata: ${String(at).padStart(eventBytes, "x")}\n\n`;
}

beforeEach(async () => {
  gateways = [];
  upstream = createServer(async (incoming, response) => {
    const attempt = String(incoming.headers["x-attempt"]);
    started.set(attempt, (started.get(attempt) ?? 0) + 1);
    response.setHeader("x-attempt", attempt).setHeader("x-digest", "d");
    const run = RUNS.find(({ name }) => attempt.startsWith(name));
    if (run === undefined) {
      response.end("ready");
      return;
    }
    if (run.kind !== streaming) {
      await pause(RUN_TIME_MS);
      response.end("whole");
      return;
    }
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    await pause(run.firstEventAfter ?? 0);
    const first = Number(incoming.headers["last-event-id"] ?? 0) + 1;
    for (let at = first; at <= EVENT_COUNT; at += 1) {
      response.write(eventOf(at, run));
      if (response.writableLength > LARGE_EVENT_BYTES) {
        heldUp.add(attempt);
      }
      await pause(EVENT_INTERVAL_MS);
    }
    response.end();
  });
  await new Promise<void>((resolve) =>
    upstream.listen(0, "127.0.0.1", () => resolve())
  );
});

afterEach(async () => {
  await Promise.all(gateways.map((gateway) => gateway.stop()));
  upstream.close();
  upstream.closeAllConnections();
});

type Ended = {
  readonly attempt: string;
  readonly body: string;
  /** The status, or why the response isn't complete. */
  readonly end: string;
};

function send(
  run: Run,
  { agent, port, attempt }: { agent: Agent; port: number; attempt: string },
): Promise<Ended> {
  const { name, isRelayed = false, reads } = run;
  const method = "POST";
  const grant = relayGrants.sign({
    entry: "other",
    service: "desk",
    workspace: "office",
    documentVersion: 1,
    excluded: [],
    isUsageCounted: false,
  }, {
    secret: SECRET,
    request: { attempt, method, target: "/", body: Buffer.alloc(0) },
  });
  return new Promise((resolve) => {
    let body = "";
    const settle = (end: string) => resolve({ attempt, body, end });
    const outgoing = request({
      host: HOST,
      port: isRelayed ? port + 2 : port,
      agent,
      method,
      headers: {
        host: `${name}.example`,
        "x-attempt": attempt,
        "x-key": "key",
        ...(isRelayed ? { [relayHeaders.grant]: grant } : {}),
      },
    }, (response) => {
      const hold = (time: number) => {
        response.pause();
        setTimeout(() => response.resume(), time);
      };
      response.on("data", (chunk) => {
        body += chunk;
        if (reads === "slowly") {
          hold(READ_INTERVAL_MS);
        }
      });
      if (reads === "after a pause") {
        response.once("data", () => hold(PAUSE_MS));
      }
      response.on("end", () => settle(`${response.statusCode}`));
      response.on("error", (error) => settle(error.message));
    });
    outgoing.on("error", (error) => settle(error.message));
    outgoing.end();
  });
}

function isWhole(run: Run, { body, end }: Ended): boolean {
  const expected = run.kind === streaming
    ? Array.from({ length: EVENT_COUNT }, (_, at) => eventOf(at + 1, run))
      .join("")
    : "whole";
  return end === "200" && body === expected;
}

/** What the log says of a request, for the failure message. */
async function endOf(attempt: string): Promise<string> {
  // It is logged once the caller's connection is closed.
  await pause(LOG_TIME_MS);
  const line = lines.find((candidate) =>
    candidate.startsWith("A request ") && candidate.includes(attempt)
  );
  return /"endedBy":"(\w*)"/.exec(line ?? "")?.[1] ?? "no line";
}

/** Starts a gateway whose configuration the returned function changes. */
async function startGateway(
  port: number,
): Promise<(change: Change | undefined) => void> {
  const { port: upstreamPort } = upstream.address() as AddressInfo;
  const original = createDocument();
  let document = original;
  let sequence = 0;
  const gateway = await testGateway.start({
    address: `${HOST}:${port}`,
    noticeAddress: `${HOST}:${port + 1}`,
    relayAddress: `${HOST}:${port + 2}`,
    gracePeriod: 100,
    control: CONTROL,
    pool: {
      notify: () => {},
      call: () =>
        Promise.resolve(testGateway.createReply({
          address: `${HOST}:${port}`,
          control: CONTROL,
          upstreams: [testGateway.createRecord({
            address: `127.0.0.1:${upstreamPort}`,
            slots: 200,
            sequence: sequence += 1,
          })],
          document,
          revision: sequence,
        })),
    } as unknown as PeerPool,
    log,
  });
  gateways.push(gateway);
  await waitUntil(() => gateway.isReady());
  return (change) => {
    const version = document.version + 1;
    document = { ...original, ...change?.(original), version };
  };
}

/** Lists the runs that a change cut, and requests sent later without an end. */
async function playChange(at: number): Promise<string[]> {
  const [name, change] = Object.entries(CHANGES)[at]!;
  const port = FIRST_PORT + at * PORTS_PER_GATEWAY;
  const apply = await startGateway(port);
  const sent = RUNS.map(async (run) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    if (run.isReused) {
      await send(run, { agent, port, attempt: `first-${name}` });
    }
    const attempt = `${run.name}-${name}`;
    const ended = await send(run, { agent, port, attempt });
    agent.destroy();
    const isOk = isWhole(run, ended) &&
      (run.isResumable || started.get(attempt) === 1);
    return isOk ? [] : [`${attempt}: ${ended.end}, ${await endOf(attempt)}`];
  });
  await waitUntil(() =>
    RUNS.every((run) => started.has(`${run.name}-${name}`))
  );
  const later: Promise<string[]>[] = [];
  const agent = new Agent({ keepAlive: true });
  for (let turn = 0; turn * CHANGE_INTERVAL_MS < RUN_TIME_MS; turn += 1) {
    await pause(CHANGE_INTERVAL_MS);
    apply(turn % 2 === 0 ? change : undefined);
    const run = RUNS[turn % 4]!;
    const attempt = `${run.name}-later-${name}-${turn}`;
    later.push(
      send(run, { agent, port, attempt }).then(async (ended) => {
        const isRefused = /^(4|5)\d\d$/.test(ended.end);
        return isRefused || isWhole(run, ended) || name === LOWER_TIMEOUT
          ? []
          : [`${attempt}: ${ended.end}, ${await endOf(attempt)}`];
      }),
    );
  }
  const cut = (await Promise.all([...sent, ...later])).flat();
  agent.destroy();
  return cut;
}

// Guards against sound runs that are cut by a change of the configuration,
// which may take away what they were admitted by.
test("no change of the configuration cuts a run in progress", async () => {
  const cut: string[] = [];
  const indexes = Object.keys(CHANGES).keys();
  const play = async () => {
    for (const at of indexes) {
      cut.push(...await playChange(at));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_CHANGES }, play));
  expect(cut).toEqual([]);
  const changes = Object.keys(CHANGES);
  const held = ["slow-reader", "paused-reader"].flatMap((name) =>
    changes.map((change) => `${name}-${change}`)
  );
  expect([...heldUp].sort()).toEqual(held.sort());
});
