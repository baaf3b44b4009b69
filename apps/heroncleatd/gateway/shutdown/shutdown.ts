import type { Server } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import { UnsentResponses } from "../../common/unsent_responses.ts";
import type { AppliedDocument } from "../applied_document.ts";
import type { DepartureDeadline } from "./departure_deadline.ts";
import type { InFlightRequests } from "./in_flight_requests.ts";
import { reportInterruptedRequests } from "./report_interrupted_requests.ts";
import { shutDownGracefully } from "./shut_down_gracefully.ts";

/** Share of the grace period after which idle connections are closed. */
const ACCEPT_GRACE_SHARE = 0.75;

type ShutdownOptions = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly gracePeriod: () => Milliseconds;
  readonly deadline: DepartureDeadline;
  readonly inFlight: InFlightRequests;
  /** The server for callers. */
  readonly server: Server;
  /** The server for entries that pass requests on. */
  readonly relayServer: Server;
  readonly appliedDocument: () => AppliedDocument;
  /** Monotonic time since which callers are served. */
  readonly listensSince: () => Milliseconds;
  readonly onBegin: () => void;
  /** Called when nothing is in flight any more. */
  readonly onEnd: () => void;
};

/** The shutdown of an entry, which happens once. */
export class Shutdown {
  readonly #options: ShutdownOptions;
  readonly #unsent: UnsentResponses;
  #ended: Promise<void> | undefined;

  constructor(options: ShutdownOptions) {
    this.#options = options;
    this.#unsent = new UnsentResponses(options.server);
  }

  /** Accepts requests for most of the grace period, then closes the server. */
  async begin(
    signalledAt: Milliseconds = this.#options.clock.steady(),
  ): Promise<void> {
    const acceptTime = this.#options.gracePeriod() * ACCEPT_GRACE_SHARE;
    this.#ended ??= this.#run(signalledAt, {
      closesAt: signalledAt + acceptTime,
    });
    await this.#ended;
  }

  /** Refuses requests at once, also if a shutdown has begun. */
  async beginAfterFailure(): Promise<void> {
    const now = this.#options.clock.steady();
    this.#options.deadline.refuseRequests();
    this.#ended ??= this.#run(now, { closesAt: now });
    await this.#ended;
  }

  async #run(
    signalledAt: Milliseconds,
    { closesAt }: { closesAt: Milliseconds },
  ): Promise<void> {
    const { clock, log, deadline, inFlight } = this.#options;
    const gracePeriod = this.#options.gracePeriod();
    const listensSince = this.#options.listensSince();
    deadline.begin(gracePeriod, signalledAt);
    this.#options.onBegin();
    log.info("Shutting down; completing requests in flight", {
      underWay: inFlight.size,
      gracePeriod,
      listenedFor: Math.round(signalledAt - listensSince),
      processUpFor: Math.round(process.uptime() * 1000),
    });
    const { isEarly, largestDelay } = await shutDownGracefully({
      server: this.#options.server,
      relayServer: this.#options.relayServer,
      clock,
      closesAt,
      endsAt: deadline.endsAt,
      exitsAt: deadline.exitsAt,
      underWay: () => inFlight.size,
      unsent: this.#unsent,
      giveUp: () => inFlight.giveUp(),
      breakOff: () => inFlight.breakOff(),
    });
    reportInterruptedRequests(inFlight, signalledAt, {
      ...this.#options,
      listensSince,
    });
    this.#options.onEnd();
    log.info("Stopped", {
      underWay: inFlight.size,
      isEarly: isEarly ? 1 : 0,
      took: Math.round(clock.steady() - signalledAt),
      largestDelay: Math.round(largestDelay),
    });
  }
}
