/** An operator order that an upstream received. */
type ReceivedOrder = {
  readonly fencing: number;
  readonly path: string;
  readonly name: string;
  readonly accepted: boolean;
};

/**
 * Records the orders that a stand-in received. If it checks fencing tokens, it
 * rejects orders whose token is below the highest one received.
 *
 * @internal
 */
export class OrderLog {
  readonly received: ReceivedOrder[] = [];
  readonly #checksFencing: boolean;
  #highestFencing = 0;

  constructor(checksFencing: boolean) {
    this.#checksFencing = checksFencing;
  }

  record(order: Omit<ReceivedOrder, "accepted">): boolean {
    const accepted = !this.#checksFencing ||
      order.fencing >= this.#highestFencing;
    this.#highestFencing = Math.max(this.#highestFencing, order.fencing);
    this.received.push({ ...order, accepted });
    return accepted;
  }
}
