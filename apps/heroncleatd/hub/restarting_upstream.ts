import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { instanceId, type UpstreamRecord } from "@heroncleat/serving";

const HOST = "127.0.0.1";

type UpstreamOptions = {
  readonly name: string;
  readonly port: number;
  /** Time to run a request, in ms. */
  readonly serviceTime: number;
  /** Time from a crash to the start of the next instance, in ms. */
  readonly downtime: number;
  /** Whether the request with this body crashes the upstream. */
  readonly crashesOn: (body: string, headers: IncomingHttpHeaders) => boolean;
  readonly report: (record: UpstreamRecord) => void;
  /** Called with the body of each request that begins to run. */
  readonly onRun: (body: string, headers: IncomingHttpHeaders) => void;
  /** Whether a path is answered with events rather than a body. */
  readonly isStream?: (path: string) => boolean;
  /** Whether a path is answered with neither a length nor chunks. */
  readonly isUnframed?: (path: string) => boolean;
  /** Requests that it runs at once. */
  readonly slots?: number;
  /** Requests that it accepts at once; more are rejected. */
  readonly capacity?: number;
  /** Called when it rejects a request for want of room. */
  readonly onRejected?: () => void;
  /** Further headers of each response. */
  readonly responseHeaders?: () => Readonly<Record<string, string>>;
  /** Called after a crash, with the body of the request that caused it. */
  readonly onCrash: (body: string) => void;
};

/** Time from the start of a run until the upstream crashes. */
const CRASH_DELAY_MS = 40;
const HEARTBEAT_INTERVAL_MS = 1000;
const DEFAULT_SLOTS = 16;
const BODY = "table 7";

/**
 * A test upstream of the service `desk` that can crash, dropping all its
 * connections, and restarts later as a new instance.
 */
export class RestartingUpstream {
  readonly #options: UpstreamOptions;
  #server: Server | undefined;
  #born = 1000;
  #sequence = 0;
  #inFlight = 0;
  #heartbeatTimer: NodeJS.Timeout | undefined;
  #restartTimer: NodeJS.Timeout | undefined;

  constructor(options: UpstreamOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const server = createServer((message, response) => {
      let body = "";
      message.on("data", (chunk) => body += chunk);
      message.on("end", () => {
        const { capacity = Infinity } = this.#options;
        if (this.#inFlight >= capacity) {
          response.writeHead(503, {
            "x-attempt": message.headers["x-attempt"],
            "x-not-run": "1",
            ...this.#options.responseHeaders?.(),
          });
          response.end();
          this.#options.onRejected?.();
          return;
        }
        this.#inFlight += 1;
        this.#options.onRun(body, message.headers);
        this.#begin(message, response);
        if (this.#options.crashesOn(body, message.headers)) {
          setTimeout(() => this.crash(body), CRASH_DELAY_MS);
        } else {
          setTimeout(
            () => this.#finish(server, response),
            this.#options.serviceTime,
          );
        }
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(this.#options.port, HOST, resolve)
    );
    this.#server = server;
    this.#inFlight = 0;
    this.#born += 1000;
    this.#heartbeat();
    this.#heartbeatTimer = setInterval(
      () => this.#heartbeat(),
      HEARTBEAT_INTERVAL_MS,
    );
  }

  /** Sends the head of a response and, of a stream, the first event. */
  #begin(message: IncomingMessage, response: ServerResponse): void {
    const { isStream, isUnframed, responseHeaders } = this.#options;
    const path = message.url ?? "/";
    const hasEvents = isStream?.(path) === true;
    const isWithoutEnd = isUnframed?.(path) === true;
    response.useChunkedEncodingByDefault = !isWithoutEnd;
    response.shouldKeepAlive = !isWithoutEnd;
    response.writeHead(200, {
      "x-attempt": message.headers["x-attempt"],
      "x-digest": "d",
      ...(hasEvents ? { "content-type": "text/event-stream" } : {}),
      ...(hasEvents || isWithoutEnd ? {} : { "content-length": BODY.length }),
      ...responseHeaders?.(),
    });
    response.flushHeaders();
    if (hasEvents) {
      response.write(`id: 1\ndata: ${BODY}\n\n`);
    }
  }

  /** Ends a response, unless its instance has crashed meanwhile. */
  #finish(server: Server, response: ServerResponse): void {
    if (server === this.#server) {
      this.#inFlight -= 1;
    }
    const type = String(response.getHeader("content-type"));
    const isStream = type === "text/event-stream";
    response.end(isStream ? `id: 2\ndata: ${BODY}\n\n` : BODY);
  }

  /**
   * Closes all connections without reporting a departure, and schedules a
   * restart.
   */
  crash(body: string): void {
    if (this.#server === undefined) {
      return;
    }
    this.#close();
    this.#options.onCrash(body);
    const { downtime } = this.#options;
    this.#restartTimer = setTimeout(() => void this.start(), downtime);
  }

  stop(): void {
    clearTimeout(this.#restartTimer);
    this.#close();
  }

  #close(): void {
    clearInterval(this.#heartbeatTimer);
    this.#server?.close();
    this.#server?.closeAllConnections();
    this.#server = undefined;
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
      slots: this.#options.slots ?? DEFAULT_SLOTS,
      sequence: this.#sequence,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    });
  }
}
