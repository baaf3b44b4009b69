import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { instanceId, type UpstreamRecord } from "@heroncleat/serving";

const HOST = "127.0.0.1";
const HEARTBEAT_INTERVAL_MS = 1000;
const SLOTS = 16;
const BODY = "table 7";

/** A request as its upstream sees it. */
export type ObservedRequest = {
  readonly upstream: string;
  /** Address of the sending entry. */
  readonly entry: string;
  readonly headers: IncomingMessage["headers"];
  /** When it was received, by `performance.now()`. */
  readonly at: number;
};

/** How an upstream responds to a request. */
export type UpstreamStatement = {
  /** Whether it rejects the request without running it. */
  readonly rejects: boolean;
  /** Further headers of the response. */
  readonly headers: Readonly<Record<string, string | string[]>>;
  /** Time to run this request, in ms, if it isn't that of all others. */
  readonly serviceTime?: number;
};

type UpstreamOptions = {
  readonly name: string;
  readonly port: number;
  /** Time to run a request, in ms. */
  readonly serviceTime: number;
  readonly report: (record: UpstreamRecord) => void;
  /** Called with each request; returns what the response states. */
  readonly respond: (observed: ObservedRequest) => UpstreamStatement;
};

/**
 * A test upstream of the service `desk` that states something about itself in
 * its responses.
 */
export class StatingUpstream {
  readonly #options: UpstreamOptions;
  readonly #born = Date.now();
  #server: Server | undefined;
  #sequence = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: UpstreamOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const server = createServer((message, response) => {
      message.resume();
      message.once("end", () => this.#serve(message, response));
    });
    this.#server = server;
    await new Promise<void>((resolve) =>
      server.listen(this.#options.port, HOST, resolve)
    );
    this.#heartbeat();
    this.#timer = setInterval(() => this.#heartbeat(), HEARTBEAT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#server?.close();
    this.#server?.closeAllConnections();
  }

  #serve(message: IncomingMessage, response: ServerResponse): void {
    const { name, respond } = this.#options;
    const {
      rejects,
      headers,
      serviceTime = this.#options.serviceTime,
    } = respond({
      upstream: name,
      entry: message.socket.remoteAddress ?? "",
      headers: message.headers,
      at: performance.now(),
    });
    const attempt = { "x-attempt": message.headers["x-attempt"] };
    if (rejects) {
      response.writeHead(503, { ...attempt, "x-not-run": "1", ...headers });
      response.end();
      return;
    }
    setTimeout(() => {
      response.writeHead(200, { ...attempt, "x-digest": "d", ...headers });
      response.end(BODY);
    }, serviceTime);
  }

  #heartbeat(): void {
    const { name, port, report } = this.#options;
    this.#sequence += 1;
    report({
      id: instanceId(name, this.#born),
      name,
      born: this.#born,
      service: "desk",
      address: `${HOST}:${port}`,
      zone: "zone-0",
      slots: SLOTS,
      sequence: this.#sequence,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    });
  }
}
