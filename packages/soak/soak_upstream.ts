import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { responseBody } from "./response_body.ts";
import type { ReceivedRequest } from "./received_request.ts";
import { sendHttpRequest } from "./send_http_request.ts";
import type { ProgramAdapter } from "./program_adapter.ts";

const HEARTBEAT_INTERVAL: Milliseconds = 1200;
/** Time within which an acknowledgement counts. */
const ACK_TIMEOUT: Milliseconds = 1000;
/** Tries to tell that it leaves before an upstream goes all the same. */
const LEAVE_TRIES = 12;
const LEAVE_PAUSE: Milliseconds = 100;
const SLOTS = 6;
const PORT = 9000;
/** Time for which one that crashed is down, in ms. */
const DOWNTIME = { min: 1500, spread: 2500 };
/** Time from the start of a run to the crash under it, in ms. */
const CRASHES_AFTER = { min: 10, spread: 100 };
/** Time that a request takes, in ms: from this on, and so much more. */
const WORK = { min: 10, spread: 60 };

/** How an upstream says that it leaves. */
type DepartureMode =
  /** Heartbeats that say so, and a departure once it ends. */
  | "drains"
  /** A departure at once, and nothing more. */
  | "departs";

/** That a replica acknowledged that an upstream leaves. */
export type AcknowledgedDeparture = {
  readonly upstream: string;
  readonly at: Milliseconds;
  /** Operators' address of the replica. */
  readonly by: string;
  readonly mode: DepartureMode;
};

type UpstreamOptions = {
  readonly name: string;
  readonly service: string;
  readonly zone: string;
  readonly host: string;
  readonly adapter: ProgramAdapter;
  readonly random: () => number;
  /** Operators' addresses that it may report to, best first. */
  readonly listReplicas: () => readonly string[];
  readonly onArrival: (arrival: ReceivedRequest) => void;
  readonly onRun: (arrival: ReceivedRequest) => void;
  readonly isNonIdempotent: (path: string) => boolean;
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
  #inFlight = 0;

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
    await this.shutDown("crashes");
    const { random } = this.#options;
    await new Promise((resolve) => {
      setTimeout(resolve, DOWNTIME.min + random() * DOWNTIME.spread);
    });
    // One that was to leave meanwhile doesn't come back.
    if (this.#state === "ready") {
      this.#born = Date.now();
      this.#sequence = 0;
      this.#inFlight = 0;
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
    void this.#sendHeartbeat();
    this.#timer = setInterval(
      () => void this.#sendHeartbeat(),
      HEARTBEAT_INTERVAL,
    );
  }

  /**
   * Says that it leaves, to one replica after the other until one acknowledges
   * it.
   */
  async depart(
    mode: DepartureMode,
  ): Promise<AcknowledgedDeparture | undefined> {
    this.#state = "draining";
    if (mode === "departs") {
      clearInterval(this.#timer);
    }
    for (let tried = 0; tried < LEAVE_TRIES; tried += 1) {
      const replicas = this.#options.listReplicas();
      const by = replicas[tried % Math.max(1, replicas.length)];
      if (by !== undefined && await this.#notify(by, mode)) {
        return { upstream: this.name, at: performance.now(), by, mode };
      }
      await new Promise((resolve) => setTimeout(resolve, LEAVE_PAUSE));
    }
    return undefined;
  }

  /** Ends; one that drained says so first. */
  async shutDown(mode: DepartureMode | "crashes"): Promise<void> {
    clearInterval(this.#timer);
    if (mode === "drains") {
      const [by] = this.#options.listReplicas();
      if (by !== undefined) {
        await this.#notify(by, "departs");
      }
    }
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #notify(by: string, mode: DepartureMode): Promise<boolean> {
    const { adapter } = this.#options;
    const call = mode === "departs"
      ? adapter.departure(this.name)
      : adapter.heartbeat(this.#report());
    const reply = await sendHttpRequest(by, { ...call, timeout: ACK_TIMEOUT });
    return reply.status >= 200 && reply.status < 300;
  }

  /** One replica hears it until a heartbeat fails there. */
  async #sendHeartbeat(): Promise<void> {
    const replicas = this.#options.listReplicas();
    const { random, adapter } = this.#options;
    const drawn = replicas[Math.floor(random() * replicas.length)];
    const by = this.#replica ?? drawn;
    if (by === undefined) {
      return;
    }
    const call = adapter.heartbeat(this.#report());
    const reply = await sendHttpRequest(by, { ...call, timeout: ACK_TIMEOUT });
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
    const { adapter, onArrival, onRun, isNonIdempotent, crashes, random } =
      this.#options;
    const { headers } = adapter;
    const attempt = String(message.headers[headers.attempt] ?? "");
    const arrival: ReceivedRequest = {
      attempt,
      upstream: this.name,
      from: message.socket.remoteAddress ?? "",
      at: performance.now(),
      isNonIdempotent: isNonIdempotent(message.url ?? ""),
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
    if (this.#inFlight >= SLOTS * 4) {
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
          CRASHES_AFTER.min + random() * CRASHES_AFTER.spread,
        );
      });
      if (this.#server.listening) {
        this.#options.onCrash(arrival.target);
        void this.crash();
      }
      return;
    }
    this.#inFlight += 1;
    await new Promise((resolve) => {
      setTimeout(resolve, WORK.min + random() * WORK.spread);
    });
    this.#inFlight -= 1;
    response.writeHead(200, {
      [headers.digest]: `by-${this.name}`,
      "keep-alive": "timeout=5",
    });
    response.end(responseBody(attempt, this.name));
  }
}
