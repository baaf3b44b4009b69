import { request } from "node:http";
import { createSystemClock } from "@heroncleat/base";
import type { ServingDocument } from "@heroncleat/serving";
import { PeerPool } from "@heroncleat/transport";
import { type RunningGateway, startGateway } from "../gateway/start_gateway.ts";
import { testHeaderNames } from "../gateway/test_header_names.ts";
import { decodeTestDocument } from "./decode_test_document.ts";
import { TestHub } from "./test_hub.ts";
import { testSeeds } from "./test_seeds.ts";

const quiet = { debug() {}, info() {}, warn() {}, error() {} };
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };

/**
 * Control replicas, four where not said, and some entries in one process, with
 * real sockets, for tests of what passes between them.
 */
export class TestGroup {
  readonly hubs: readonly TestHub[];
  readonly gateways: RunningGateway[] = [];
  readonly #pools: PeerPool[] = [];
  readonly #firstPort: number;

  /**
   * @param firstPort First of 22 ports that only this test uses.
   * @param disks Whether each process of the control role has a disk; the first
   *     three are the seeds.
   */
  constructor(firstPort: number, disks = [true, true, true, true]) {
    this.#firstPort = firstPort;
    this.hubs = disks.map((hasDisk, at) =>
      new TestHub(at, firstPort, { hasDisk })
    );
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
        seeds: testSeeds(this.#firstPort),
        quota: { isFresh: true, window: 1000, overshoot: 0, tolerance: 0 },
        retryRatio: 0.2,
        retryWindow: 1000,
        retrySlack: 10,
        usageWindow: 1000,
        gracePeriod: 500,
      }),
      names: testHeaderNames,
      readPrompt: () => undefined,
      decodeDocument: decodeTestDocument,
      pool,
      clock: createSystemClock(),
      log: () => quiet,
      metrics,
    });
    this.gateways.push(gateway);
    return gateway;
  }

  /** Asks one entry for a table. */
  ask(
    at: number,
    sent = "",
  ): Promise<{ status: number; body: string }> {
    return new Promise((resolve, reject) => {
      const outgoing = request({
        host: hostOf(at),
        port: this.#firstPort + 20,
        agent: false,
        method: sent === "" ? "GET" : "POST",
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
      outgoing.end(sent);
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

function hostOf(at: number): string {
  return `127.0.0.${1 + at}`;
}
