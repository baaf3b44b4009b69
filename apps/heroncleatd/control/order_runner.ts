import { Agent } from "node:http";
import type { Clock, Milliseconds } from "@heroncleat/base";
import { ReplicaRole } from "@heroncleat/consensus";
import type { Announcement, Order } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import { maySendOrder } from "./may_send_order.ts";
import { orderRequest } from "./order_request.ts";
import { sendOrder } from "./send_order.ts";
import type { ReplicaAccess } from "./replica_access.ts";

type OrderRunnerOptions = {
  readonly replica: ReplicaAccess;
  readonly clock: Clock;
  readonly log: Log;
  readonly electionTimeout: Milliseconds;
  readonly clockDrift: number;
  /** Timeout of an order to an upstream that checks fencing numbers. */
  readonly orderTimeout: Milliseconds;
  /** Timeout of an order to any other upstream; shorter than the lease. */
  readonly unfencedOrderTimeout: Milliseconds;
  /** Fetches the announcement of an upstream from an entry. */
  readonly findUpstream: (name: string) => Promise<Announcement | undefined>;
};

const POLL_INTERVAL_MS = 200;
const COMMIT_TIMEOUT_MS = 3000;
type SendOutcome = Awaited<ReturnType<typeof sendOrder>>;

/**
 * Sends committed orders to their upstreams while this replica leads. A failed
 * order is retried until the configuration abandons it, so delivery is at least
 * once and in ascending order of number for each upstream.
 */
export class OrderRunner {
  readonly #options: OrderRunnerOptions;
  readonly #agent = new Agent();
  readonly #busyUpstreams = new Set<string>();
  #timer: NodeJS.Timeout | undefined;
  #term = -1;
  #leaderSince: Milliseconds = 0;

  constructor(options: OrderRunnerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(
      () => void this.#runPendingOrders(),
      POLL_INTERVAL_MS,
    );
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #runPendingOrders(): Promise<void> {
    const orders = await this.#options.replica.inspect(
      (application, replica) => {
        if (replica.role !== ReplicaRole.leader) {
          return [];
        }
        this.#recordTerm(replica.term);
        return oldestOrderPerUpstream(application.configuration.pendingOrders);
      },
    );
    for (const order of orders) {
      if (!this.#busyUpstreams.has(order.upstream)) {
        this.#busyUpstreams.add(order.upstream);
        void this.#runOrder(order).finally(() =>
          this.#busyUpstreams.delete(order.upstream)
        );
      }
    }
  }

  #recordTerm(term: number): void {
    if (term !== this.#term) {
      this.#term = term;
      this.#leaderSince = this.#options.clock.now();
    }
  }

  async #runOrder(order: Order): Promise<void> {
    const upstream = await this.#options.findUpstream(order.upstream);
    const outcome = upstream === undefined
      ? {
        succeeded: false,
        message: "the upstream is not announced",
      }
      : await this.#send(order, upstream);
    if (outcome === undefined) {
      return;
    }
    const proposed = await this.#options.replica.propose(
      { kind: "order", number: order.number, ...outcome },
      COMMIT_TIMEOUT_MS,
    );
    if (proposed.kind === "done") {
      this.#options.log.info(
        `The result of order ${order.number} is committed`,
        {
          upstream: order.upstream,
          succeeded: String(outcome.succeeded),
        },
      );
    }
  }

  /** Sends an order; returns `undefined` if it must not be sent now. */
  async #send(
    order: Order,
    upstream: Announcement,
  ): Promise<SendOutcome | undefined> {
    const { path, body } = orderRequest(order.order);
    const leaseUntil = await this.#options.replica.inspect((_, replica) =>
      replica.leaseUntil
    );
    const { checksFencing } = upstream;
    const timeout = checksFencing
      ? this.#options.orderTimeout
      : this.#options.unfencedOrderTimeout;
    // Nothing may be awaited between this check of the lease and the request.
    const allowed = maySendOrder({
      ...this.#options,
      now: this.#options.clock.now(),
      leaseUntil,
      leaderSince: this.#leaderSince,
      orderTimeout: timeout,
      checksFencing,
    });
    if (!allowed) {
      return undefined;
    }
    return await sendOrder({
      agent: this.#agent,
      address: upstream.address,
      path,
      body,
      fencingNumber: order.number,
      timeout,
    });
  }
}

function oldestOrderPerUpstream(orders: readonly Order[]): Order[] {
  const oldest = new Map<string, Order>();
  for (const order of orders) {
    if (!oldest.has(order.upstream)) {
      oldest.set(order.upstream, order);
    }
  }
  return [...oldest.values()];
}
