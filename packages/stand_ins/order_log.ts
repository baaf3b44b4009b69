/** An order that an upstream received. */
type ReceivedOrder = {
  readonly fencing: number;
  readonly path: string;
  readonly name: string;
  readonly accepted: boolean;
};

/**
 * The orders a stand-in received. One that checks fencing numbers refuses any
 * that is not above the highest it has seen.
 *
 * @internal
 */
export class OrderLog {
  readonly received: ReceivedOrder[] = [];
  readonly #checks: boolean;
  #highest = 0;

  constructor(checks: boolean) {
    this.#checks = checks;
  }

  take(order: Omit<ReceivedOrder, "accepted">): boolean {
    const accepted = !this.#checks || order.fencing >= this.#highest;
    this.#highest = Math.max(this.#highest, order.fencing);
    this.received.push({ ...order, accepted });
    return accepted;
  }
}
