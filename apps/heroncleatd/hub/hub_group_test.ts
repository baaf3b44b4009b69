import { mkdtempSync, rmSync } from "node:fs";
import { createServer, request, type Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createSystemClock } from "@heroncleat/base";
import { RouteKind, type ServingDocument } from "@heroncleat/serving";
import { PeerPool, PeerServer } from "@heroncleat/transport";
import { type RunningGateway, startGateway } from "../gateway/start_gateway.ts";
import type { DutyCalls, DutyHolder } from "./duty_calls.ts";
import { type RunningHub, startHub } from "./start_hub.ts";
import { testHeaderNames } from "../gateway/test_header_names.ts";

const FIRST_PORT = 25_300;
const SEEDS = [0, 1, 2].map((at) => `127.0.0.1:${FIRST_PORT + at}`);
const DESK_PORT = FIRST_PORT + 50;
/** Time after which a replica with a new disk votes. */
const CATCH_UP_TIME = 4000;
const quiet = { debug() {}, info() {}, warn() {}, error() {} };
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const names = testHeaderNames;

/** One control replica of the test, which can be stopped and wiped. */
class TestHub {
  readonly #at: number;
  readonly #folder = mkdtempSync(join(tmpdir(), "heroncleat-hub-"));
  readonly reports: { holder: DutyHolder; window: number; counts: object }[] =
    [];
  #pool: PeerPool | undefined;
  #server: PeerServer | undefined;
  #hub: RunningHub | undefined;

  constructor(at: number) {
    this.#at = at;
  }

  get hub(): RunningHub {
    return this.#hub!;
  }

  async start(options: { isFirstStart: boolean }): Promise<void> {
    const address = `127.0.0.1:${FIRST_PORT + this.#at}`;
    this.#pool = new PeerPool({
      secret: "s",
      connectTimeout: 500,
      localHost: "",
    });
    const server = new PeerServer({
      address,
      secret: "s",
      onProblem: () => {},
    });
    this.#server = server;
    this.#hub = await startHub({
      settings: () => ({
        name: `hub-${this.#at}`,
        zone: `zone-${this.#at}`,
        peerAddress: address,
        seeds: SEEDS,
        toleratedLosses: 1,
        isFirstStart: options.isFirstStart,
        dataFolder: this.#folder,
        electionTimeout: 1500,
        clockDrift: 0.05,
        usageWindow: 1000,
        usageDelay: 2000,
        dutyLease: 1000,
      }),
      fleet: {
        initialShare: 0.3,
        utilization: 0.3,
        slotShare: 0.5,
      },
      decodeDocument,
      calls: this.#calls(),
      pool: this.#pool,
      serve: (methods) => server.serve(methods),
      clock: createSystemClock(),
      log: () => quiet,
      metrics,
    });
    await server.listen();
  }

  async stop(): Promise<void> {
    await this.#hub?.stop();
    this.#pool?.close();
    await this.#server?.close();
    this.#hub = undefined;
  }

  wipe(): void {
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #calls(): DutyCalls {
    return {
      reportUsage: (holder, report) => {
        this.reports.push({ holder, ...report });
        return Promise.resolve("accepted" as const);
      },
      orderUpstreams: () => Promise.resolve("accepted" as const),
    };
  }
}

const hubs = [0, 1, 2, 3].map((at) => new TestHub(at));
const gateways: RunningGateway[] = [];
const pools: PeerPool[] = [];
let desk: Server;

beforeAll(async () => {
  desk = createServer((message, response) => {
    response.writeHead(200, {
      "x-attempt": message.headers["x-attempt"],
      "x-digest": "d",
    });
    response.end("table 7");
  });
  await new Promise<void>((done) => desk.listen(DESK_PORT, "127.0.0.1", done));
  await Promise.all(hubs.map((hub) => hub.start({ isFirstStart: true })));
  for (const at of [0, 1]) {
    gateways.push(await startEntry(at));
  }
});

afterAll(async () => {
  await Promise.all([
    ...gateways.map((gateway) => gateway.stop()),
    ...hubs.map((hub) => hub.stop()),
  ]);
  for (const pool of pools) {
    pool.close();
  }
  for (const hub of hubs) {
    hub.wipe();
  }
  desk.close();
  desk.closeAllConnections();
});

// The tests build on each other: one deployment lives through all of them.
describe("a control group with entries", () => {
  test("forms from its seeds and puts a document in force everywhere", async () => {
    const version2 = documentOf(2);
    await eventually(() => publish(hubs[3]!, version2));
    await eventually(() => gateways.every((gateway) => gateway.isReady()));
    expect(await stored(hubs[1]!)).toBe(JSON.stringify(version2));
  });

  test("acknowledges an older version and keeps the newest", async () => {
    expect(await publish(hubs[0]!, documentOf(1))).toBe(true);
    expect(await stored(hubs[2]!)).toBe(JSON.stringify(documentOf(2)));
  });

  test("reports every entry of an upstream that one replica received", async () => {
    hubs[2]!.hub.mergeUpstream({
      id: "desk-1",
      name: "desk-1",
      born: undefined,
      service: "desk",
      address: `127.0.0.1:${DESK_PORT}`,
      zone: "zone-0",
      slots: 4,
      sequence: 1,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    });
    for (const at of [0, 1]) {
      await eventually(async () => (await ask(at)).status === 200);
      expect((await ask(at)).body).toBe("table 7");
    }
  });

  test("reports each usage window once, with one fencing token a holder", async () => {
    await eventually(() => allReports().some(hasCounts));
    const byWindow = new Map<number, string>();
    for (const { window, counts } of allReports()) {
      const text = JSON.stringify(counts);
      expect(byWindow.get(window) ?? text).toBe(text);
      byWindow.set(window, text);
    }
    const holders = new Map<number, string>();
    for (const { holder } of allReports()) {
      expect(holders.get(holder.fencingToken) ?? holder.name).toBe(holder.name);
      holders.set(holder.fencingToken, holder.name);
    }
  });

  test("sends nothing more to an upstream that says it leaves", async () => {
    hubs[0]!.hub.removeUpstream("desk-1");
    for (const at of [0, 1]) {
      await eventually(async () => (await ask(at)).status === 503);
    }
  });

  test("takes a replica with an empty disk back and loses nothing", async () => {
    await hubs[1]!.stop();
    hubs[1]!.wipe();
    await hubs[1]!.start({ isFirstStart: false });
    await eventually(async () =>
      await stored(hubs[1]!) === JSON.stringify(documentOf(2))
    );
    await eventually(() => publish(hubs[1]!, documentOf(5)));
    await pause(CATCH_UP_TIME);
    await hubs[2]!.stop();
    // Three of four are left, one of them with a new disk.
    await eventually(async () =>
      await stored(hubs[1]!) === JSON.stringify(documentOf(5))
    );
  });

  test("neither reads nor accepts a document without a quorum", async () => {
    await hubs[3]!.stop();
    await hubs[0]!.stop();
    await eventually(async () => await stored(hubs[1]!) === "unavailable");
    expect(await publish(hubs[1]!, documentOf(9))).toBe(false);
  });

  test("serves what it acknowledged once it is back", async () => {
    await hubs[0]!.start({ isFirstStart: false });
    await hubs[2]!.start({ isFirstStart: false });
    await hubs[3]!.start({ isFirstStart: false });
    await eventually(async () => {
      const text = await stored(hubs[2]!);
      return text === JSON.stringify(documentOf(5)) ||
        text === JSON.stringify(documentOf(9));
    });
  });

  test("entries name each other while no control replica answers", async () => {
    hubs[0]!.hub.mergeUpstream({
      id: "desk-9",
      name: "desk-9",
      born: undefined,
      service: "desk",
      address: `127.0.0.1:${DESK_PORT}`,
      zone: "zone-0",
      slots: 4,
      sequence: 1,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    });
    await eventually(async () => (await ask(0)).status === 200);
    await Promise.all(hubs.map((hub) => hub.stop()));
    // Long enough that updates of the replicas can't be what they name.
    await new Promise((resolve) => setTimeout(resolve, 2500));
    await eventually(() =>
      gateways.every((gateway) => gateway.listEntries().length === 2)
    );
    expect((await ask(0)).status).toBe(200);
  });
});

function documentOf(version: number): ServingDocument {
  return {
    version,
    routes: [{
      name: "all",
      host: "inn.example",
      pathPrefix: "/",
      kind: RouteKind.idempotent,
      targets: [{ service: "desk", weight: 1 }],
      timeout: 1000,
      latencyObjective: 100,
      priority: 1,
      maxAttempts: 2,
      isPublic: true,
      isResumable: false,
    }],
    services: [{ name: "desk", maxConnections: 10 } as never],
    workspaces: undefined as never,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1000,
      headerTimeout: 3000,
      idleTimeout: 5000,
    },
  };
}

function decodeDocument(source: string) {
  const document = JSON.parse(source) as ServingDocument;
  return { kind: "document", document } as const;
}

async function publish(
  at: TestHub,
  document: ServingDocument,
): Promise<boolean> {
  const outcome = await at.hub.publish(document, JSON.stringify(document));
  return outcome === "accepted";
}

async function stored(at: TestHub): Promise<string> {
  const read = await at.hub.readDocument();
  return typeof read === "string" ? read : read.source;
}

function allReports() {
  return hubs.flatMap((hub) => hub.reports);
}

function hasCounts(report: { counts: object }): boolean {
  return Object.keys(report.counts).length > 0;
}

/** Entries are distinguished by host; all use the same ports. */
function hostOf(at: number): string {
  return `127.0.0.${1 + at}`;
}

async function startEntry(at: number): Promise<RunningGateway> {
  const pool = new PeerPool({
    secret: "s",
    connectTimeout: 500,
    localHost: "",
  });
  pools.push(pool);
  return await startGateway({
    settings: () => ({
      name: `entry-${at}`,
      zone: `zone-${at}`,
      region: "r",
      address: `${hostOf(at)}:${FIRST_PORT + 20}`,
      noticeAddress: `${hostOf(at)}:${FIRST_PORT + 21}`,
      seeds: SEEDS,
      quota: { isFresh: true, window: 1000, overshoot: 0, tolerance: 0 },
      retryRatio: 0.2,
      retryWindow: 1000,
      retrySlack: 10,
      usageWindow: 1000,
      gracePeriod: 500,
    }),
    names,
    readPrompt: () => undefined,
    decodeDocument,
    pool,
    clock: createSystemClock(),
    log: () => quiet,
    metrics,
  });
}

function ask(at: number): Promise<{ status: number; body: string }> {
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: hostOf(at),
      port: FIRST_PORT + 20,
      agent: false,
      headers: { host: "inn.example", "x-attempt": `a${Math.random()}` },
    }, (response) => {
      let body = "";
      response.on("data", (chunk) => body += chunk);
      response.on("end", () => resolve({ status: response.statusCode!, body }));
    });
    outgoing.on("error", reject);
    outgoing.end();
  });
}

function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Waits until a condition holds; fails after 25 s. */
async function eventually(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const until = performance.now() + 25_000;
  while (!await check()) {
    if (performance.now() > until) {
      throw new Error("The condition didn't come to hold within 25 s.");
    }
    await pause(50);
  }
}
