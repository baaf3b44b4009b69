import { request } from "node:http";
import { createSystemClock } from "@heroncleat/base";
import type { ServingDocument } from "@heroncleat/serving";
import { PeerPool } from "@heroncleat/transport";
import type { ConnectionOpener } from "../common/connection_opener.ts";
import type { Log } from "../common/log.ts";
import type { RunningGateway } from "../gateway/running_gateway.ts";
import { startGateway } from "../gateway/start_gateway.ts";
import { testHeaderNames } from "../gateway/test_header_names.ts";
import { decodeTestDocument } from "./decode_test_document.ts";
import { readTestPrompt } from "./read_test_prompt.ts";
import { TestHub } from "./test_hub.ts";
import { TEST_PARTS_HEADER } from "./test_parts_header.ts";
import { testSeeds } from "./test_seeds.ts";

const silentLog: Log = { debug() {}, info() {}, warn() {}, error() {} };
const noMetrics = { increment() {}, gauge() {}, timing() {}, close() {} };

/**
 * A control group and entries in one process that communicate over real
 * sockets.
 */
export class TestGroup {
  readonly hubs: readonly TestHub[];
  readonly gateways: RunningGateway[] = [];
  /** Retries per window, in addition to a share of the requests. */
  retrySlack = 8;
  readonly #pools: PeerPool[] = [];
  readonly #firstPort: number;
  /** Logs of the entries; set before they start. */
  logOf: (entry: number) => Log = () => silentLog;

  /**
   * @param firstPort First of 23 consecutive ports reserved for the test.
   * @param disks Whether each control process has a disk; the first three
   *     processes are the seeds.
   */
  constructor(firstPort: number, disks = [true, true, true, true]) {
    this.#firstPort = firstPort;
    this.hubs = disks.map((hasDisk, index) =>
      new TestHub(index, firstPort, { hasDisk })
    );
  }

  /** @param options.connectOf How an entry connects to upstreams. */
  async start(
    options: {
      entries: number;
      connectOf?: (entry: number) => ConnectionOpener;
    },
  ): Promise<void> {
    await Promise.all(
      this.hubs.map((hub) => hub.start({ isFirstStart: true })),
    );
    for (let index = 0; index < options.entries; index += 1) {
      await this.startEntry(index, options.connectOf?.(index));
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

  /** Each entry has a host of its own; all use the same ports. */
  async startEntry(
    index: number,
    connect?: ConnectionOpener,
  ): Promise<RunningGateway> {
    const pool = new PeerPool({
      secret: "s",
      connectTimeout: 500,
      localHost: "",
    });
    this.#pools.push(pool);
    const gateway = await startGateway({
      settings: () => ({
        name: `entry-${index}`,
        zone: `zone-${index}`,
        region: "r",
        address: `${hostOf(index)}:${this.#firstPort + 20}`,
        noticeAddress: `${hostOf(index)}:${this.#firstPort + 21}`,
        relayAddress: `${hostOf(index)}:${this.#firstPort + 22}`,
        seeds: testSeeds(this.#firstPort),
        quota: { isFresh: true, window: 1000, overshoot: 0, tolerance: 0 },
        retryRatio: 0.16,
        retryWindow: 1000,
        retrySlack: this.retrySlack,
        usageWindow: 1000,
        drainTimeout: 2000,
        gracePeriod: 500,
      }),
      names: testHeaderNames,
      readPrompt: readTestPrompt,
      decodeDocument: decodeTestDocument,
      pool,
      secret: "s",
      clock: createSystemClock(),
      log: () => this.logOf(index),
      metrics: noMetrics,
      ...(connect === undefined ? {} : { connect }),
    });
    this.gateways.push(gateway);
    return gateway;
  }

  /**
   * Sends a request to one entry: a POST with the given body, or a GET if it is
   * empty.
   *
   * @param parts The parts of its prompt; none if undefined.
   */
  sendRequest(
    index: number,
    requestBody = "",
    path = "/",
    parts?: readonly string[],
  ): Promise<{ status: number; body: string }> {
    return new Promise((resolve, reject) => {
      const clientRequest = request({
        host: hostOf(index),
        port: this.#firstPort + 20,
        agent: false,
        path,
        method: requestBody === "" ? "GET" : "POST",
        headers: {
          host: "inn.example",
          "x-attempt": `a${Math.random()}`,
          ...(parts === undefined
            ? {}
            : { [TEST_PARTS_HEADER]: parts.join(",") }),
        },
      }, (response) => {
        let body = "";
        response.on("data", (chunk) => body += chunk);
        response.on(
          "end",
          () => resolve({ status: response.statusCode!, body }),
        );
      });
      clientRequest.on("error", reject);
      clientRequest.end(requestBody);
    });
  }

  /** host:port of an entry for callers. */
  addressOf(index: number): string {
    return `${hostOf(index)}:${this.#firstPort + 20}`;
  }

  /** Publishes a configuration document through one control process. */
  async publish(index: number, document: ServingDocument): Promise<boolean> {
    const outcome = await this.hubs[index]!.hub.publish(
      document,
      JSON.stringify(document),
    );
    return outcome === "accepted";
  }
}

function hostOf(index: number): string {
  return `127.0.0.${1 + index}`;
}
