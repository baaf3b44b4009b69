import type { Milliseconds } from "@heroncleat/base";
import type { FleetOrder } from "./fleet_order.ts";

/** Time after a refused order before the next try. */
const REFUSED_PAUSE: Milliseconds = 2000;
/** Time for which a refusal says that none are to be had; tries take 2 s. */
const REFUSED_MEMORY: Milliseconds = 4500;
/** Time after which an order that shows no effect is given again. */
const REPEAT_AFTER: Milliseconds = 6000;
/**
 * Time beyond the boot in which an accepted order may still show: the first
 * heartbeat comes within 1.2 s of the start.
 */
const SHOWS_WITHIN: Milliseconds = 1500;
/** Count that no order asks for, so that the next one is given. */
const NOT_KNOWN = -1;

/** One order and what became of it. */
type Given = {
  count: number;
  at: Milliseconds;
  /** Upstreams that were there when it was given. */
  presentThen: number;
  isAccepted: boolean;
  refusedUntil: Milliseconds;
  /** When it was last refused, also by an order before this one. */
  refusedAt: Milliseconds;
};

/**
 * The orders that one process gave, so that none is given twice and what
 * boots is known.
 *
 * @internal
 */
export class GivenOrders {
  readonly #given = new Map<string, Given>();

  /** Whether an order is to be given now. */
  isDue(
    order: FleetOrder,
    options: { present: number; now: Milliseconds },
  ): boolean {
    const { present, now } = options;
    const given = this.#given.get(keyOf(order));
    if (given === undefined) {
      return true;
    }
    if (given.refusedUntil > now) {
      return false;
    }
    return given.count !== order.count ||
      (present !== order.count && now - given.at > REPEAT_AFTER);
  }

  note(
    order: FleetOrder,
    options: { present: number; now: Milliseconds },
  ): void {
    const { present, now } = options;
    this.#given.set(keyOf(order), {
      count: order.count,
      at: now,
      presentThen: present,
      isAccepted: false,
      refusedUntil: 0,
      refusedAt: this.#given.get(keyOf(order))?.refusedAt ?? -Infinity,
    });
  }

  noteAccepted(order: FleetOrder): void {
    const given = this.#given.get(keyOf(order));
    if (given !== undefined) {
      given.isAccepted = true;
    }
  }

  noteRefused(order: FleetOrder, now: Milliseconds): void {
    const given = this.#given.get(keyOf(order));
    if (given !== undefined) {
      given.refusedUntil = now + REFUSED_PAUSE;
      given.refusedAt = now;
      given.count = NOT_KNOWN;
    }
  }

  noteUnknown(order: FleetOrder): void {
    const given = this.#given.get(keyOf(order));
    if (given !== undefined) {
      given.count = NOT_KNOWN;
    }
  }

  /**
   * Takes in how many reclaimable upstreams of a zone are left. A reclaim takes
   * all of a zone, also those that boot, which nobody announces. Counting on
   * them put off on-demand ones by the time of a boot: 5.5 s at a third of the
   * load's engines, with engines 0.4 times as fast as those of a simulated day.
   */
  notePresent(kind: Omit<FleetOrder, "count">, present: number): void {
    const given = this.#given.get(keyOf(kind));
    if (given !== undefined && present === 0 && given.presentThen > 0) {
      given.isAccepted = false;
      given.count = NOT_KNOWN;
    }
  }

  /** Upstreams of an accepted order that boot and haven't shown yet. */
  countBooting(
    kind: Omit<FleetOrder, "count">,
    options: { present: number; bootTime: Milliseconds; now: Milliseconds },
  ): number {
    const { present, bootTime, now } = options;
    const given = this.#given.get(keyOf(kind));
    if (
      given === undefined || !given.isAccepted ||
      now - given.at > bootTime + SHOWS_WITHIN
    ) {
      return 0;
    }
    return Math.max(0, given.count - Math.max(present, given.presentThen));
  }

  /** Whether an order of this kind was refused lately. */
  isRefused(kind: Omit<FleetOrder, "count">, now: Milliseconds): boolean {
    const refusedAt = this.#given.get(keyOf(kind))?.refusedAt ?? -Infinity;
    return now - refusedAt < REFUSED_MEMORY;
  }
}

function keyOf(order: Omit<FleetOrder, "count">): string {
  return `${order.service} ${order.zone} ${order.isSpot}`;
}
