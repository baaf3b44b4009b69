import type { Milliseconds } from "@heroncleat/base";
import type { FleetOrder } from "./fleet_order.ts";

/** Delay before a refused order is sent again. */
const REFUSAL_RETRY_DELAY: Milliseconds = 2000;
/**
 * Time for which upstreams count as unavailable after a refusal; spans two
 * retries.
 */
const REFUSAL_WINDOW: Milliseconds = 4500;
/** Time after which an order without effect is sent again. */
const EFFECT_TIMEOUT: Milliseconds = 6000;
/** Time after the boot within which an upstream sends its first heartbeat. */
const FIRST_HEARTBEAT_TIMEOUT: Milliseconds = 1500;
/** Differs from the count of any order, so that the next order is due. */
const UNKNOWN_COUNT = -1;

/** Last order of one kind and its outcome. */
type SentOrder = {
  count: number;
  at: Milliseconds;
  /** Upstreams that were present when the order was sent. */
  initiallyPresent: number;
  isAccepted: boolean;
  refusedUntil: Milliseconds;
  /** When an order of this kind was last refused. */
  refusedAt: Milliseconds;
};

/**
 * Orders that this process sent, to avoid duplicates and to know how many
 * upstreams are booting.
 *
 * @internal
 */
export class OrderHistory {
  readonly #sentOrders = new Map<string, SentOrder>();

  /** Whether an order is to be sent now. */
  isDue(
    order: FleetOrder,
    options: { present: number; now: Milliseconds },
  ): boolean {
    const { present, now } = options;
    const sent = this.#sentOrders.get(keyOf(order));
    if (sent === undefined) {
      return true;
    }
    if (sent.refusedUntil > now) {
      return false;
    }
    return sent.count !== order.count ||
      (present !== order.count && now - sent.at > EFFECT_TIMEOUT);
  }

  record(
    order: FleetOrder,
    options: { present: number; now: Milliseconds },
  ): void {
    const { present, now } = options;
    this.#sentOrders.set(keyOf(order), {
      count: order.count,
      at: now,
      initiallyPresent: present,
      isAccepted: false,
      refusedUntil: 0,
      refusedAt: this.#sentOrders.get(keyOf(order))?.refusedAt ?? -Infinity,
    });
  }

  recordAccepted(order: FleetOrder): void {
    const sent = this.#sentOrders.get(keyOf(order));
    if (sent !== undefined) {
      sent.isAccepted = true;
    }
  }

  recordRefused(order: FleetOrder, now: Milliseconds): void {
    const sent = this.#sentOrders.get(keyOf(order));
    if (sent !== undefined) {
      sent.refusedUntil = now + REFUSAL_RETRY_DELAY;
      sent.refusedAt = now;
      sent.count = UNKNOWN_COUNT;
    }
  }

  recordUnknownOutcome(order: FleetOrder): void {
    const sent = this.#sentOrders.get(keyOf(order));
    if (sent !== undefined) {
      sent.count = UNKNOWN_COUNT;
    }
  }

  /**
   * Records how many spot upstreams of a zone are present. When none are left,
   * the zone was reclaimed, booting ones included, without a notice for these;
   * counting on them would delay their replacement by the boot time.
   */
  recordPresent(kind: Omit<FleetOrder, "count">, present: number): void {
    const sent = this.#sentOrders.get(keyOf(kind));
    if (sent !== undefined && present === 0 && sent.initiallyPresent > 0) {
      sent.isAccepted = false;
      sent.count = UNKNOWN_COUNT;
    }
  }

  /** Upstreams of an accepted order that haven't sent a heartbeat yet. */
  countBooting(
    kind: Omit<FleetOrder, "count">,
    options: { present: number; bootTime: Milliseconds; now: Milliseconds },
  ): number {
    const { present, bootTime, now } = options;
    const sent = this.#sentOrders.get(keyOf(kind));
    if (
      sent === undefined || !sent.isAccepted ||
      now - sent.at > bootTime + FIRST_HEARTBEAT_TIMEOUT
    ) {
      return 0;
    }
    return Math.max(0, sent.count - Math.max(present, sent.initiallyPresent));
  }

  /** Whether an order of this kind was refused recently. */
  hasRecentRefusal(
    kind: Omit<FleetOrder, "count">,
    now: Milliseconds,
  ): boolean {
    const refusedAt = this.#sentOrders.get(keyOf(kind))?.refusedAt ?? -Infinity;
    return now - refusedAt < REFUSAL_WINDOW;
  }
}

function keyOf(order: Omit<FleetOrder, "count">): string {
  return `${order.service} ${order.zone} ${order.isSpot}`;
}
