import { createServer, type Server, type ServerResponse } from "node:http";
import { instanceId, type UpstreamRecord } from "@heroncleat/serving";

const HOST = "127.0.0.1";
const HEARTBEAT_INTERVAL_MS = 400;
const SLOTS = 64;
/** Events of a stream unless stated, and the pause between two of them. */
const EVENT_COUNT = 20;
const EVENT_PAUSE_MS = 40;

/** A request as its upstream sees it. */
type ReceivedRequest = {
  /** When it was received, by `performance.now()`. */
  readonly at: number;
  /** Whether it goes on with a stream. */
  readonly isResumed: boolean;
};

type UpstreamOptions = {
  readonly name: string;
  readonly version: string;
  readonly port: number;
  readonly service?: string;
  /** Events of each stream. */
  readonly eventCount?: number;
  /** Pause between two events, in milliseconds. */
  readonly eventPause?: number;
  readonly slots?: number;
  /** Number of events after which a stream breaks off; undefined for none. */
  readonly breaksAfter: () => number | undefined;
  readonly report: (record: UpstreamRecord) => void;
};

/**
 * A test upstream whose streams can be resumed, and whose events name the
 * version of its software.
 */
export class StreamingUpstream {
  readonly #options: UpstreamOptions;
  readonly #server: Server;
  /** Requests that it ran, in order. */
  readonly received: ReceivedRequest[] = [];
  #state: UpstreamRecord["state"] = "ready";
  #sequence = 0;
  #timer: NodeJS.Timeout | undefined;
  readonly #born = Date.now();

  constructor(options: UpstreamOptions) {
    this.#options = options;
    this.#server = createServer((message, response) => {
      const { name } = this.#options;
      message.resume();
      response.setHeader("x-attempt", String(message.headers["x-attempt"]));
      if (message.headers["x-expected"] !== name) {
        response.writeHead(421, { "x-not-run": "1" }).end();
        return;
      }
      const lastEventId = message.headers["last-event-id"];
      this.received.push({
        at: performance.now(),
        isResumed: lastEventId !== undefined,
      });
      void this.#stream(response, Number(lastEventId ?? 0));
    });
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) =>
      this.#server.listen(this.#options.port, HOST, resolve)
    );
    this.heartbeat();
    this.#timer = setInterval(() => this.heartbeat(), HEARTBEAT_INTERVAL_MS);
  }

  /** Reports with each heartbeat that it drains, and serves on. */
  drain(): void {
    this.#state = "draining";
    this.heartbeat();
  }

  /** Ends at once, like a VM that fails. */
  stop(): void {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #stream(response: ServerResponse, last: number): Promise<void> {
    const {
      version,
      breaksAfter,
      eventCount = EVENT_COUNT,
      eventPause = EVENT_PAUSE_MS,
    } = this.#options;
    response.writeHead(200, {
      "x-digest": "d",
      "content-type": "text/event-stream",
    });
    const breakAt = last + (breaksAfter() ?? eventCount);
    for (let id = last + 1; id <= eventCount; id += 1) {
      await new Promise((resolve) => setTimeout(resolve, eventPause));
      if (id > breakAt) {
        response.socket?.resetAndDestroy();
        return;
      }
      response.write(`id: ${id}\ndata: ${version}\n\n`);
    }
    response.end();
  }

  /** Reports itself, also after it has ended, like a heartbeat that was late. */
  heartbeat(): void {
    const {
      name,
      port,
      version,
      service = "desk",
      slots = SLOTS,
      report,
    } = this.#options;
    this.#sequence += 1;
    report({
      id: instanceId(name, this.#born),
      name,
      born: this.#born,
      version,
      service,
      address: `${HOST}:${port}`,
      zone: "zone-0",
      slots,
      sequence: this.#sequence,
      state: this.#state,
      isSpot: false,
      leavesIn: undefined,
    });
  }
}
