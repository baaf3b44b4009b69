import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { answerOf } from "./answer_of.ts";
import type { Arrival } from "./arrival.ts";
import { callOnce } from "./call_once.ts";
import type { SoakWire } from "./soak_wire.ts";

const HEARTBEAT_INTERVAL: Milliseconds = 1200;
/** Time within which an acknowledgement counts. */
const ACK_TIMEOUT: Milliseconds = 1000;
/** Tries to tell that it leaves before an upstream goes all the same. */
const LEAVE_TRIES = 12;
const LEAVE_PAUSE: Milliseconds = 100;
const SLOTS = 6;
const PORT = 9000;
/** Time for which one that crashed is down, in ms. */
const DOWNTIME = { least: 1500, spread: 2500 };
/** Time from the start of a run to the crash under it, in ms. */
const CRASHES_AFTER = { least: 10, spread: 100 };
/** Time that a request takes, in ms: from this on, and so much more. */
const WORK = { least: 10, spread: 60 };

/** How an upstream says that it leaves. */
type LeaveManner =
  /** Heartbeats that say so, and a departure once it ends. */
  | "drains"
  /** A departure at once, and nothing more. */
  | "departs";

/** That a replica acknowledged that an upstream leaves. */
export type LeaveAcknowledged = {
  readonly upstream: string;
  readonly at: Milliseconds;
  /** Operators' address of the replica. */
  readonly by: string;
  readonly manner: LeaveManner;
};

type UpstreamOptions = {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly host: string;
  readonly wire: SoakWire;
  readonly random: () => number;
  /** Operators' addresses that it may report to, best first. */
  readonly listReplicas: () => readonly string[];
  readonly onArrival: (arrival: Arrival) => void;
  readonly onRun: (arrival: Arrival) => void;
  readonly isSingle: (path: string) => boolean;
  /** Whether a request ends each upstream that runs it. */
  readonly crashes: (path: string) => boolean;
  /** Called when this has ended under such a request. */
  readonly onCrash: (path: string) => void;
};

/** A plain service that reports itself, serves and leaves. */
export class SoakUpstream {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly #options: UpstreamOptions;
  readonly #server: Server;
  #born = Date.now();
  #sequence = 0;
  #state: "ready" | "draining" = "ready";
  #timer: NodeJS.Timeout | undefined;
  #replica: string | undefined;
  #underWay = 0;

  constructor(options: UpstreamOptions) {
    this.#options = options;
    this.name = options.name;
    this.zone = options.zone;
    this.host = options.host;
    this.#server = createServer((message, response) => {
      void this.#serve(message, response);
    });
    this.#server.keepAliveTimeout = 5000;
  }

  /** Ends at once with all its connections, and runs again after a time. */
  async crash(): Promise<void> {
    await this.end("crashes");
    const { random } = this.#options;
    await new Promise((resolve) => {
      setTimeout(resolve, DOWNTIME.least + random() * DOWNTIME.spread);
    });
    // One that was to leave meanwhile doesn't come back.
    if (this.#state === "ready") {
      this.#born = Date.now();
      this.#sequence = 0;
      this.#underWay = 0;
      await this.start();
    }
  }

  get isReady(): boolean {
    return this.#state === "ready" && this.#server.listening;
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(PORT, this.host, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
    void this.#beat();
    this.#timer = setInterval(() => void this.#beat(), HEARTBEAT_INTERVAL);
  }

  /**
   * Says that it leaves, to one replica after the other until one acknowledges
   * it.
   */
  async leave(manner: LeaveManner): Promise<LeaveAcknowledged | undefined> {
    this.#state = "draining";
    if (manner === "departs") {
      clearInterval(this.#timer);
    }
    for (let tried = 0; tried < LEAVE_TRIES; tried += 1) {
      const replicas = this.#options.listReplicas();
      const by = replicas[tried % Math.max(1, replicas.length)];
      if (by !== undefined && await this.#tell(by, manner)) {
        return { upstream: this.name, at: performance.now(), by, manner };
      }
      await new Promise((resolve) => setTimeout(resolve, LEAVE_PAUSE));
    }
    return undefined;
  }

  /** Ends; one that drained says so first. */
  async end(manner: LeaveManner | "crashes"): Promise<void> {
    clearInterval(this.#timer);
    if (manner === "drains") {
      const [by] = this.#options.listReplicas();
      if (by !== undefined) {
        await this.#tell(by, "departs");
      }
    }
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #tell(by: string, manner: LeaveManner): Promise<boolean> {
    const { wire } = this.#options;
    const call = manner === "departs"
      ? wire.departure(this.name)
      : wire.heartbeat(this.#report());
    const reply = await callOnce(by, { ...call, timeout: ACK_TIMEOUT });
    return reply.status >= 200 && reply.status < 300;
  }

  /** One replica hears it until a heartbeat fails there. */
  async #beat(): Promise<void> {
    const replicas = this.#options.listReplicas();
    const { random, wire } = this.#options;
    const drawn = replicas[Math.floor(random() * replicas.length)];
    const by = this.#replica ?? drawn;
    if (by === undefined) {
      return;
    }
    const call = wire.heartbeat(this.#report());
    const reply = await callOnce(by, { ...call, timeout: ACK_TIMEOUT });
    const isTaken = reply.status >= 200 && reply.status < 300;
    this.#replica = isTaken ? by : undefined;
  }

  #report() {
    this.#sequence += 1;
    return {
      name: this.name,
      service: this.#options.service,
      address: `${this.host}:${PORT}`,
      zone: this.zone,
      slots: SLOTS,
      state: this.#state,
      sequence: this.#sequence,
      born: this.#born,
    };
  }

  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { wire, onArrival, onRun, isSingle, crashes, random } = this.#options;
    const { headers } = wire;
    const attempt = String(message.headers[headers.attempt] ?? "");
    const arrival: Arrival = {
      attempt,
      upstream: this.name,
      from: message.socket.remoteAddress ?? "",
      at: performance.now(),
      isSingle: isSingle(message.url ?? ""),
      target: message.url ?? "",
    };
    response.setHeader(headers.attempt, attempt);
    message.resume();
    const expected = message.headers[headers.expectedUpstream];
    if (expected !== undefined && expected !== this.name) {
      response.writeHead(421).end();
      return;
    }
    onArrival(arrival);
    if (this.#underWay >= SLOTS * 4) {
      response.writeHead(503, { [headers.notRun]: "1" }).end();
      return;
    }
    onRun(arrival);
    if (crashes(arrival.target)) {
      response.writeHead(200, { [headers.digest]: `by-${this.name}` });
      response.write("begun");
      await new Promise((resolve) => {
        setTimeout(
          resolve,
          CRASHES_AFTER.least + random() * CRASHES_AFTER.spread,
        );
      });
      if (this.#server.listening) {
        this.#options.onCrash(arrival.target);
        void this.crash();
      }
      return;
    }
    this.#underWay += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, WORK.least + random() * WORK.spread);
    });
    this.#underWay -= 1;
    response.writeHead(200, {
      [headers.digest]: `by-${this.name}`,
      "keep-alive": "timeout=5",
    });
    response.end(answerOf(attempt, this.name));
  }
}
