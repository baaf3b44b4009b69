import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { drawRunTime } from "./draw_run_time.ts";
import { pause } from "./pause.ts";
import { responseBody } from "./response_body.ts";
import type { StatementChecks } from "./statement_checks.ts";
import type { RateLimitChecks } from "./rate_limit_checks.ts";
import { sendEndlessly } from "./send_endlessly.ts";
import { sendSoakResponse } from "./send_soak_response.ts";
import { streamEvents } from "./stream_events.ts";
import type { ReceivedRequest } from "./received_request.ts";
import type { RunChecks } from "./run_checks.ts";
import { UpstreamLimits } from "./upstream_limits.ts";
import { UpstreamHeartbeats } from "./upstream_heartbeats.ts";
import type { ProgramAdapter } from "./program_adapter.ts";
import type { Workload } from "./workload.ts";

/** Attempts to report a departure before an upstream gives up. */
const MAX_DEPARTURE_ATTEMPTS = 12;
const DEPARTURE_RETRY_DELAY: Milliseconds = 100;
const SLOTS = 6;
const PORT = 9000;
/** Time from a crash to the restart. */
const DOWNTIME_MS = { min: 1500, spread: 2500 };
/** Time from the start of a crashing request to the crash. */
const CRASH_DELAY_MS = { min: 10, spread: 100 };
/** Time after its start in which entries may not know an upstream. */
const DISCOVERY_TIME: Milliseconds = 1500;

/** How an upstream reports its departure. */
type DepartureMode =
  /** Sends draining heartbeats, and a departure notice when it shuts down. */
  | "drains"
  /** Sends a departure notice at once and no further heartbeats. */
  | "departs";

/** An upstream departure that a replica has acknowledged. */
export type AcknowledgedDeparture = {
  readonly upstream: string;
  readonly at: Milliseconds;
  /** Operator address of the replica. */
  readonly by: string;
  readonly mode: DepartureMode;
};

type UpstreamOptions = {
  readonly name: string;
  readonly service: string;
  /** Version of its software, which its events name. */
  readonly version: string;
  readonly zone: string;
  readonly host: string;
  readonly adapter: ProgramAdapter;
  readonly random: () => number;
  readonly workload: Workload;
  /** Whether some entry stops at present. */
  readonly isBesideStop: () => boolean;
  /** Operator addresses that it may report to, in order of preference. */
  readonly listReplicas: () => readonly string[];
  readonly rateLimits: RateLimitChecks;
  readonly statements: StatementChecks;
  readonly runs: RunChecks;
  readonly onReceived: (received: ReceivedRequest) => void;
  readonly onRun: (received: ReceivedRequest) => void;
  readonly isNonIdempotent: (path: string) => boolean;
  readonly isStream: (path: string) => boolean;
  /** Returns what upstreams crash on in a request, if anything. */
  readonly crashCauseOf: (
    path: string,
    parts: readonly string[],
  ) => string | undefined;
  /**
   * Called when it crashes as it rejected too much, with the host of the entry
   * that sent the last request.
   */
  readonly onOverload: (from: string) => void;
  /** Called when such a request has crashed this upstream. */
  readonly onCrash: (cause: string) => void;
};

/** A plain service that sends heartbeats, serves requests and departs. */
export class SoakUpstream {
  readonly name: string;
  readonly zone: string;
  readonly host: string;
  readonly version: string;
  readonly #options: UpstreamOptions;
  readonly #server: Server;
  readonly #heartbeats: UpstreamHeartbeats;
  #readyAt: Milliseconds = Infinity;
  /** When it began to report that it drains; undefined if it doesn't. */
  #drainingAt: Milliseconds | undefined;
  #inFlight = 0;
  readonly limits = new UpstreamLimits();
  /** Whether its responses are bytes without end. */
  isEndless = false;

  constructor(options: UpstreamOptions) {
    this.#options = options;
    this.name = options.name;
    this.zone = options.zone;
    this.host = options.host;
    this.version = options.version;
    this.#heartbeats = new UpstreamHeartbeats({
      ...options,
      lateShare: options.workload.lateShare,
      identity: {
        ...options,
        address: `${options.host}:${PORT}`,
        slots: SLOTS,
      },
    });
    this.#server = createServer((message, response) => {
      void this.#serve(message, response);
    });
    this.#server.keepAliveTimeout = 5000;
  }

  /** Closes all its connections at once, and restarts after a delay. */
  async crash(): Promise<void> {
    await this.shutDown("crashes");
    this.#options.statements.forget(this.name);
    this.stateRateLimit(undefined);
    const { random } = this.#options;
    await new Promise((resolve) => {
      setTimeout(resolve, DOWNTIME_MS.min + random() * DOWNTIME_MS.spread);
    });
    // An upstream that began to depart meanwhile doesn't restart.
    if (this.#heartbeats.state === "ready") {
      this.#inFlight = 0;
      await this.#listen();
      this.#heartbeats.restart();
    }
  }

  /** States a limit in all responses from now on; undefined for none. */
  stateRateLimit(rate: number | undefined): void {
    this.limits.rateLimit = rate;
    if (rate === undefined) {
      this.#options.rateLimits.end(this.name);
    } else {
      this.#options.rateLimits.begin(this.name, rate);
    }
  }

  get isReady(): boolean {
    return this.#heartbeats.state === "ready" && this.#server.listening;
  }

  get isListening(): boolean {
    return this.#server.listening;
  }

  /**
   * Whether entries may send it resumed streams and know so: ready, or draining
   * for less than a time, and not rejecting.
   */
  takesResumedStreams(drainTime: Milliseconds): boolean {
    const now = performance.now();
    const isInTime = this.isReady
      ? now > this.#readyAt + DISCOVERY_TIME
      : this.#drainingAt !== undefined && now < this.#drainingAt + drainTime;
    return isInTime && this.isListening && this.limits.isOpen &&
      !this.isEndless;
  }

  async start(): Promise<void> {
    await this.#listen();
    this.#heartbeats.start();
  }

  async #listen(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(PORT, this.host, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
    this.#readyAt = performance.now();
  }

  /**
   * Reports its departure to one replica after the other until one acknowledges
   * it.
   */
  async depart(
    mode: DepartureMode,
  ): Promise<AcknowledgedDeparture | undefined> {
    this.#heartbeats.state = "draining";
    if (mode === "departs") {
      this.#heartbeats.stop();
    } else {
      this.#drainingAt = performance.now();
    }
    const kind = mode === "departs" ? "departure" : "state";
    for (let attempts = 0; attempts < MAX_DEPARTURE_ATTEMPTS; attempts += 1) {
      const replicas = this.#options.listReplicas();
      const by = replicas[attempts % Math.max(1, replicas.length)];
      if (by !== undefined && await this.#heartbeats.notify(by, kind)) {
        return { upstream: this.name, at: performance.now(), by, mode };
      }
      await new Promise((resolve) =>
        setTimeout(resolve, DEPARTURE_RETRY_DELAY)
      );
    }
    return undefined;
  }

  /** Shuts down, after a departure notice if it was draining. */
  async shutDown(mode: DepartureMode | "crashes"): Promise<void> {
    this.#heartbeats.stop();
    // What crashed while it drained doesn't tell that it is gone.
    if (mode === "drains" && this.isListening) {
      const [by] = this.#options.listReplicas();
      if (by !== undefined) {
        await this.#heartbeats.notify(by, "departure");
      }
    }
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const { adapter, onReceived, onRun, isNonIdempotent, random } =
      this.#options;
    const { headers } = adapter;
    const attempt = String(message.headers[headers.attempt] ?? "");
    const received: ReceivedRequest = {
      attempt,
      upstream: this.name,
      from: message.socket.remoteAddress ?? "",
      at: performance.now(),
      isNonIdempotent: isNonIdempotent(message.url ?? ""),
      isResumed: message.headers[headers.lastEvent] !== undefined,
      target: message.url ?? "",
      crashCause: this.#options.crashCauseOf(
        message.url ?? "",
        adapter.parsePromptParts(message.headers),
      ),
    };
    response.setHeader(headers.attempt, attempt);
    message.resume();
    const expected = message.headers[headers.expectedUpstream];
    if (expected !== undefined && expected !== this.name) {
      response.writeHead(421).end();
      return;
    }
    onReceived(received);
    const { rateLimit, rejectionLimit, rest } = this.limits;
    if (rateLimit !== undefined) {
      response.setHeader(headers.rateLimit, String(rateLimit));
      response.on(
        "finish",
        () => this.#options.rateLimits.recordStated(this.name, received.from),
      );
    }
    if (rejectionLimit !== undefined) {
      response.setHeader(headers.rejectionLimit, String(rejectionLimit));
    }
    if (this.#heartbeats.state === "draining") {
      response.setHeader(headers.leaving, "1");
      response.on(
        "finish",
        () => this.#options.statements.recordLeaving(this.name, received.from),
      );
    }
    if (rest !== undefined) {
      const { statements } = this.#options;
      response.on(
        "finish",
        () => statements.recordRest(this.name, received.from, rest),
      );
      response.writeHead(503, {
        [headers.notRun]: "1",
        "retry-after": String(rest / 1000),
      }).end();
      return;
    }
    const capacity = rejectionLimit === undefined ? SLOTS * 4 : SLOTS;
    if (this.#inFlight >= capacity) {
      response.writeHead(503, { [headers.notRun]: "1" }).end();
      this.#recordRejection(received.from);
      return;
    }
    onRun(received);
    if (this.isEndless) {
      sendEndlessly(response, random);
      return;
    }
    if (received.crashCause !== undefined) {
      response.writeHead(200, { [headers.digest]: `by-${this.name}` });
      response.write("begun");
      await new Promise((resolve) => {
        setTimeout(
          resolve,
          CRASH_DELAY_MS.min + random() * CRASH_DELAY_MS.spread,
        );
      });
      if (this.#server.listening) {
        this.#options.onCrash(received.crashCause);
        void this.crash();
      }
      return;
    }
    this.#inFlight += 1;
    let isBrokenHere = false;
    response.on("close", () => {
      if (isBrokenHere || !this.isListening) {
        return;
      }
      const { runs } = this.#options;
      if (response.writableFinished) {
        runs.recordCompletion(received);
      } else {
        runs.recordCut(received);
      }
    });
    // A long stream sends its events over that time.
    const isStreamed = this.#options.isStream(received.target);
    const { workload, isBesideStop } = this.#options;
    const { isLong, duration: usual } = drawRunTime(random, workload);
    const duration = usual * (isBesideStop() ? workload.slowFactor : 1);
    await pause(isLong && isStreamed ? 0 : duration);
    this.#inFlight -= 1;
    const partPause = isLong && isStreamed
      ? duration / streamEvents.count
      : undefined;
    const isSent = await this.#respond(response, received, {
      last: Number(message.headers[headers.lastEvent] ?? 0),
      partPause,
    });
    isBrokenHere = !isSent;
  }

  /** Crashes if more requests were rejected than it states. */
  #recordRejection(from: string): void {
    if (this.limits.recordRejection()) {
      this.limits.stateRejectionLimit(undefined);
      this.#options.onOverload(from);
      void this.crash();
    }
  }

  async #respond(
    response: ServerResponse,
    { attempt, target }: ReceivedRequest,
    { last, partPause }: {
      /** Last event that the caller has. */
      last: number;
      partPause: Milliseconds | undefined;
    },
  ): Promise<boolean> {
    const { adapter, isStream, random, workload } = this.#options;
    const { headers } = adapter;
    const isStreamed = isStream(target);
    return await sendSoakResponse(response, {
      status: 200,
      headers: {
        [headers.digest]: `by-${this.name}`,
        "content-type": isStreamed ? "text/event-stream" : "text/plain",
        "keep-alive": "timeout=5",
      },
      parts: isStreamed
        ? streamEvents.list(target, this.version).slice(last)
        : [responseBody(attempt, this.name)],
      partPause,
      brokenShare: workload.brokenShare,
    }, random);
  }
}
