import { createServer, type Server } from "node:http";
import { instanceId, type UpstreamRecord } from "@heroncleat/serving";

const HOST = "127.0.0.1";

/** What a test's upstream is made with. */
type UpstreamOptions = {
  readonly name: string;
  readonly port: number;
  /** Time that a request takes. */
  readonly work: number;
  /** Time after an end at which it runs again, as another start. */
  readonly downtime: number;
  /** Whether a request ends the upstream that runs it. */
  readonly endsIt: (body: string) => boolean;
  readonly report: (record: UpstreamRecord) => void;
  /** Called with each request that begins to run. */
  readonly onRun: (body: string) => void;
  /** Called when it has ended, with the body under which it did. */
  readonly onEnd: (body: string) => void;
};

/** Time from the start of a run to the end of the upstream under it. */
const ENDS_AFTER = 40;
const HEARTBEAT_INTERVAL = 1000;

/**
 * An upstream of the service `desk` that can end at once with all its
 * connections, and runs again after a time.
 */
export class RestartingUpstream {
  readonly #options: UpstreamOptions;
  #server: Server | undefined;
  #born = 1000;
  #sequence = 0;
  #beats: NodeJS.Timeout | undefined;
  #restart: NodeJS.Timeout | undefined;

  constructor(options: UpstreamOptions) {
    this.#options = options;
  }

  async start(): Promise<void> {
    const server = createServer((message, response) => {
      let body = "";
      message.on("data", (chunk) => body += chunk);
      message.on("end", () => {
        this.#options.onRun(body);
        response.writeHead(200, {
          "x-attempt": message.headers["x-attempt"],
          "x-digest": "d",
          "content-length": 7,
        });
        response.flushHeaders();
        if (this.#options.endsIt(body)) {
          setTimeout(() => this.end(body), ENDS_AFTER);
        } else {
          setTimeout(() => response.end("table 7"), this.#options.work);
        }
      });
    });
    await new Promise<void>((resolve) =>
      server.listen(this.#options.port, HOST, resolve)
    );
    this.#server = server;
    this.#born += 1000;
    this.#heartbeat();
    this.#beats = setInterval(() => this.#heartbeat(), HEARTBEAT_INTERVAL);
  }

  /** Ends without a word, and runs again later. */
  end(body: string): void {
    if (this.#server === undefined) {
      return;
    }
    this.#close();
    this.#options.onEnd(body);
    const { downtime } = this.#options;
    this.#restart = setTimeout(() => void this.start(), downtime);
  }

  stop(): void {
    clearTimeout(this.#restart);
    this.#close();
  }

  #close(): void {
    clearInterval(this.#beats);
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
      slots: 16,
      sequence: this.#sequence,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    });
  }
}
