import { median, type UpstreamLoad } from "@heroncleat/serving";

type Loads = Readonly<Record<string, UpstreamLoad>>;

/** What a control replica adds up from the exchanges of entries. */
export class LoadReplica {
  /** Last reported loads by entry, and their sums by upstream. */
  readonly #reported = new Map<number, Loads>();
  readonly #totals = new Map<string, UpstreamLoad>();
  readonly #speeds = new Map<number, number>();

  /** Replaces the loads of an entry and returns those of the others. */
  exchangeLoads(entry: number, loads: Loads): Record<string, UpstreamLoad> {
    this.#add(this.#reported.get(entry) ?? {}, -1);
    this.#add(loads, 1);
    this.#reported.set(entry, loads);
    const others: Record<string, UpstreamLoad> = {};
    for (const [id, { requests, backlog }] of this.#totals) {
      others[id] = {
        requests: requests - (loads[id]?.requests ?? 0),
        backlog: backlog - (loads[id]?.backlog ?? 0),
      };
    }
    return others;
  }

  /** Records an entry's prefill speed and returns that of all together. */
  exchangeSpeed(
    entry: number,
    speed: number | undefined,
  ): number | undefined {
    if (speed !== undefined) {
      this.#speeds.set(entry, speed);
    }
    return this.#speeds.size === 0
      ? undefined
      : median([...this.#speeds.values()]);
  }

  #add(loads: Loads, sign: 1 | -1): void {
    for (const [id, { requests, backlog }] of Object.entries(loads)) {
      const total = this.#totals.get(id) ?? { requests: 0, backlog: 0 };
      this.#totals.set(id, {
        requests: total.requests + sign * requests,
        backlog: total.backlog + sign * backlog,
      });
    }
  }
}
