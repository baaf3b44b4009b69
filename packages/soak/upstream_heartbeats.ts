import type { Milliseconds, Random } from "@heroncleat/base";
import { pause } from "./pause.ts";
import type { ProgramAdapter } from "./program_adapter.ts";
import { randomDuration } from "./random_duration.ts";
import { sendHttpRequest } from "./send_http_request.ts";
import type { UpstreamReport } from "./upstream_report.ts";

const HEARTBEAT_INTERVAL: Milliseconds = 1200;
const ACK_TIMEOUT: Milliseconds = 1000;
/** By how much late heartbeats are late. */
const LATENESS_MS = { min: 0, spread: 3000 };
/** Heartbeats of an earlier start that arrive after a restart. */
const LATE_AFTER_RESTART = 2;

type HeartbeatOptions = {
  readonly identity: Pick<
    UpstreamReport,
    "name" | "service" | "version" | "address" | "zone" | "slots"
  >;
  readonly adapter: ProgramAdapter;
  readonly random: Random;
  /** Share of the heartbeats that arrive late. */
  readonly lateShare: number;
  /** Operator addresses that it may report to, in order of preference. */
  readonly listReplicas: () => readonly string[];
};

/** Sends the heartbeats of an upstream, some of them late. */
export class UpstreamHeartbeats {
  readonly #options: HeartbeatOptions;
  state: UpstreamReport["state"] = "ready";
  #born = Date.now();
  #sequence = 0;
  #timer: NodeJS.Timeout | undefined;
  #replica: string | undefined;

  constructor(options: HeartbeatOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#send(this.#buildReport());
    this.#timer = setInterval(() => {
      const report = this.#buildReport();
      const isLate = this.#options.random() < this.#options.lateShare;
      void (isLate ? this.#sendLate(report) : this.#send(report));
    }, HEARTBEAT_INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Starts as another instance; heartbeats of the earlier one follow. */
  restart(): void {
    for (let count = 0; count < LATE_AFTER_RESTART; count += 1) {
      void this.#sendLate(this.#buildReport());
    }
    this.#born = Date.now();
    this.#sequence = 0;
    this.start();
  }

  /** Sends its state, or that it is gone, to a replica. */
  async notify(by: string, kind: "state" | "departure"): Promise<boolean> {
    const { adapter, identity } = this.#options;
    const call = kind === "departure"
      ? adapter.departure(identity.name)
      : adapter.heartbeat(this.#buildReport());
    const reply = await sendHttpRequest(by, { ...call, timeout: ACK_TIMEOUT });
    return reply.status >= 200 && reply.status < 300;
  }

  async #sendLate(report: UpstreamReport): Promise<void> {
    await pause(randomDuration(this.#options.random, LATENESS_MS));
    await this.#send(report);
  }

  /** Sends heartbeats to the same replica until one fails. */
  async #send(report: UpstreamReport): Promise<void> {
    const { random, adapter, listReplicas } = this.#options;
    const replicas = listReplicas();
    const randomReplica = replicas[Math.floor(random() * replicas.length)];
    const by = this.#replica ?? randomReplica;
    if (by === undefined) {
      return;
    }
    const call = adapter.heartbeat(report);
    const reply = await sendHttpRequest(by, { ...call, timeout: ACK_TIMEOUT });
    const isAccepted = reply.status >= 200 && reply.status < 300;
    this.#replica = isAccepted ? by : undefined;
  }

  #buildReport(): UpstreamReport {
    this.#sequence += 1;
    return {
      ...this.#options.identity,
      state: this.state,
      sequence: this.#sequence,
      born: this.#born,
    };
  }
}
