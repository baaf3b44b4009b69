import { mkdtempSync, rmSync } from "node:fs";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createSystemClock } from "@heroncleat/base";
import {
  RouteKind,
  type ServingDocument,
  type UpstreamRecord,
} from "@heroncleat/serving";
import { PeerPool, PeerServer } from "@heroncleat/transport";
import { type RunningGateway, startGateway } from "../gateway/start_gateway.ts";
import { testHeaderNames } from "../gateway/test_header_names.ts";
import type { DutyCalls, DutyHolder } from "./duty_calls.ts";
import { type RunningHub, startHub } from "./start_hub.ts";

const FOUNDERS = 3;
/** Time within which a condition of a test must come to hold, in ms. */
const PATIENCE = 25_000;
const quiet = { debug() {}, info() {}, warn() {}, error() {} };
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };

/** A usage report that the test's platform took. */
type TakenReport = {
  readonly holder: DutyHolder;
  readonly window: number;
  readonly counts: object;
};

/** One control replica of a test, which can be stopped, lost and wiped. */
class TestHub {
  readonly #at: number;
  readonly #firstPort: number;
  readonly #folder = mkdtempSync(join(tmpdir(), "heroncleat-hub-"));
  readonly reports: TakenReport[] = [];
  #pool: PeerPool | undefined;
  #server: PeerServer | undefined;
  #hub: RunningHub | undefined;

  constructor(at: number, firstPort: number) {
    this.#at = at;
    this.#firstPort = firstPort;
  }

  get hub(): RunningHub {
    return this.#hub!;
  }

  async start(options: { isFirstStart: boolean }): Promise<void> {
    const address = `127.0.0.1:${this.#firstPort + this.#at}`;
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
        seeds: seedsOf(this.#firstPort),
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
    await this.#disconnect();
    this.#hub = undefined;
  }

  /** Is there for nobody from now on, as after a loss of power. */
  async lose(): Promise<void> {
    const lost = this.#hub;
    this.#hub = undefined;
    await this.#disconnect();
    await lost?.stop();
  }

  wipe(): void {
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #disconnect(): Promise<void> {
    this.#pool?.close();
    await this.#server?.close();
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

/**
 * Four control replicas and some entries in one process, with real sockets, for
 * tests of what passes between them.
 */
export class TestGroup {
  readonly hubs: readonly TestHub[];
  readonly gateways: RunningGateway[] = [];
  readonly #pools: PeerPool[] = [];
  readonly #firstPort: number;

  /** @param firstPort First of 22 ports that only this test uses. */
  constructor(firstPort: number) {
    this.#firstPort = firstPort;
    this.hubs = [0, 1, 2, 3].map((at) => new TestHub(at, firstPort));
  }

  async start(options: { entries: number }): Promise<void> {
    await Promise.all(
      this.hubs.map((hub) => hub.start({ isFirstStart: true })),
    );
    for (let at = 0; at < options.entries; at += 1) {
      await this.startEntry(at);
    }
  }

  async stop(): Promise<void> {
    await Promise.all([
      ...this.gateways.map((gateway) => gateway.stop()),
      ...this.hubs.map((hub) => hub.stop()),
    ]);
    for (const pool of this.#pools) {
      pool.close();
    }
    for (const hub of this.hubs) {
      hub.wipe();
    }
  }

  /** Entries are distinguished by host; all use the same ports. */
  async startEntry(at: number): Promise<RunningGateway> {
    const pool = new PeerPool({
      secret: "s",
      connectTimeout: 500,
      localHost: "",
    });
    this.#pools.push(pool);
    const gateway = await startGateway({
      settings: () => ({
        name: `entry-${at}`,
        zone: `zone-${at}`,
        region: "r",
        address: `${hostOf(at)}:${this.#firstPort + 20}`,
        noticeAddress: `${hostOf(at)}:${this.#firstPort + 21}`,
        seeds: seedsOf(this.#firstPort),
        quota: { isFresh: true, window: 1000, overshoot: 0, tolerance: 0 },
        retryRatio: 0.2,
        retryWindow: 1000,
        retrySlack: 10,
        usageWindow: 1000,
        gracePeriod: 500,
      }),
      names: testHeaderNames,
      readPrompt: () => undefined,
      decodeDocument,
      pool,
      clock: createSystemClock(),
      log: () => quiet,
      metrics,
    });
    this.gateways.push(gateway);
    return gateway;
  }

  /** Asks one entry for a table. */
  ask(at: number): Promise<{ status: number; body: string }> {
    return new Promise((resolve, reject) => {
      const outgoing = request({
        host: hostOf(at),
        port: this.#firstPort + 20,
        agent: false,
        headers: { host: "inn.example", "x-attempt": `a${Math.random()}` },
      }, (response) => {
        let body = "";
        response.on("data", (chunk) => body += chunk);
        response.on(
          "end",
          () => resolve({ status: response.statusCode!, body }),
        );
      });
      outgoing.on("error", reject);
      outgoing.end();
    });
  }

  /** Puts a document in force by way of one replica. */
  async publish(at: number, document: ServingDocument): Promise<boolean> {
    const outcome = await this.hubs[at]!.hub.publish(
      document,
      JSON.stringify(document),
    );
    return outcome === "accepted";
  }
}

/** A document that routes everything to the service `desk`. */
export function documentOf(version: number): ServingDocument {
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

/** What an upstream of `desk` says of itself. */
export function deskRecord(
  name: string,
  options: { address: string; sequence: number },
): UpstreamRecord {
  return {
    id: name,
    name,
    born: undefined,
    service: "desk",
    zone: "zone-0",
    slots: 4,
    state: "ready",
    isSpot: false,
    leavesIn: undefined,
    ...options,
  };
}

export function pause(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Waits until a condition holds; fails after 25 s. */
export async function eventually(
  check: () => boolean | Promise<boolean>,
): Promise<void> {
  const until = performance.now() + PATIENCE;
  while (!await check()) {
    if (performance.now() > until) {
      throw new Error(`The condition didn't come to hold in ${PATIENCE} ms.`);
    }
    await pause(50);
  }
}

function decodeDocument(source: string) {
  const document = JSON.parse(source) as ServingDocument;
  return { kind: "document", document } as const;
}

function seedsOf(firstPort: number): string[] {
  return Array.from(
    { length: FOUNDERS },
    (_, at) => `127.0.0.1:${firstPort + at}`,
  );
}

function hostOf(at: number): string {
  return `127.0.0.${1 + at}`;
}
