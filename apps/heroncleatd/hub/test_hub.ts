import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createSystemClock } from "@heroncleat/base";
import { PeerPool, PeerServer } from "@heroncleat/transport";
import { decodeTestDocument } from "./decode_test_document.ts";
import type { LeaderTaskCalls, LeaderTaskHolder } from "./leader_task_calls.ts";
import type { RunningHub } from "./running_hub.ts";
import { startHub } from "./start_hub.ts";
import { startHubProxy } from "./start_hub_proxy.ts";
import { testSeeds } from "./test_seeds.ts";

const silentLog = { debug() {}, info() {}, warn() {}, error() {} };
const noMetrics = { increment() {}, gauge() {}, timing() {}, close() {} };

/** A usage report that the simulated platform accepted. */
type AcceptedReport = {
  readonly holder: LeaderTaskHolder;
  readonly window: number;
  readonly counts: object;
};

/**
 * One control process of a test, which can be stopped, crashed and wiped.
 * Without a disk it holds no replica.
 */
export class TestHub {
  readonly #index: number;
  readonly #firstPort: number;
  readonly #folder = mkdtempSync(join(tmpdir(), "heroncleat-hub-"));
  readonly reports: AcceptedReport[] = [];
  #pool: PeerPool | undefined;
  #server: PeerServer | undefined;
  #hub: RunningHub | undefined;

  readonly #hasDisk: boolean;

  constructor(
    index: number,
    firstPort: number,
    { hasDisk = true }: { hasDisk?: boolean } = {},
  ) {
    this.#index = index;
    this.#firstPort = firstPort;
    this.#hasDisk = hasDisk;
  }

  get hub(): RunningHub {
    return this.#hub!;
  }

  async start(options: { isFirstStart: boolean }): Promise<void> {
    const address = `127.0.0.1:${this.#firstPort + this.#index}`;
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
    this.#hub = this.#hasDisk
      ? await this.#startReplica(server, { address, ...options })
      : this.#startProxy(server, address);
    await server.listen();
  }

  #startProxy(server: PeerServer, address: string): RunningHub {
    return startHubProxy({
      settings: () => ({
        zone: `zone-${this.#index}`,
        peerAddress: address,
        seeds: testSeeds(this.#firstPort),
      }),
      pool: this.#pool!,
      serve: (methods) => server.serve(methods),
      clock: createSystemClock(),
      log: () => silentLog,
      metrics: noMetrics,
    });
  }

  async #startReplica(
    server: PeerServer,
    { address, isFirstStart }: { address: string; isFirstStart: boolean },
  ): Promise<RunningHub> {
    return await startHub({
      settings: () => ({
        name: `hub-${this.#index}`,
        zone: `zone-${this.#index}`,
        peerAddress: address,
        seeds: testSeeds(this.#firstPort),
        promisedLosses: { machines: 1, zones: 0, regions: 0 },
        toleratedLosses: 1,
        regions: {},
        isFirstStart,
        dataFolder: this.#folder,
        electionTimeout: 1500,
        clockDrift: 0.05,
        usageWindow: 1000,
        usageDelay: 2000,
        rolloutLimits: { exposureShare: 0.1, exposureTolerance: 50 },
        leaderTaskLease: 1000,
      }),
      fleet: {
        initialShare: 0.3,
        utilization: 0.3,
        slotShare: 0.5,
      },
      decodeDocument: decodeTestDocument,
      calls: this.#calls(),
      pool: this.#pool!,
      serve: (methods) => server.serve(methods),
      clock: createSystemClock(),
      log: () => silentLog,
      metrics: noMetrics,
    });
  }

  async stop(): Promise<void> {
    await this.#hub?.stop();
    await this.#disconnect();
    this.#hub = undefined;
  }

  /**
   * Drops all connections before stopping, so that no peer sees a shutdown, as
   * after a power loss.
   */
  async crash(): Promise<void> {
    const hub = this.#hub;
    this.#hub = undefined;
    await this.#disconnect();
    await hub?.stop();
  }

  wipe(): void {
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #disconnect(): Promise<void> {
    this.#pool?.close();
    await this.#server?.close();
  }

  #calls(): LeaderTaskCalls {
    return {
      reportUsage: (holder, report) => {
        this.reports.push({ holder, ...report });
        return Promise.resolve("accepted" as const);
      },
      orderUpstreams: () => Promise.resolve("accepted" as const),
    };
  }
}
