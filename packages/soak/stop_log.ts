import type { Milliseconds } from "@heroncleat/base";

/** A planned stop of an entry; `exitedAt` is infinite until it has exited. */
type PlannedStop = {
  readonly signalledAt: Milliseconds;
  exitedAt: Milliseconds;
};

/** Records the planned stops of entries, by host. */
export class StopLog {
  readonly #stops = new Map<string, PlannedStop[]>();
  readonly #underWay = new Set<PlannedStop>();
  /** Number of stops so far. */
  count = 0;

  /** Whether some entry has been told to stop and hasn't exited. */
  get isUnderWay(): boolean {
    return this.#underWay.size > 0;
  }

  /** Records a signal to stop; the returned function records the exit. */
  begin(host: string): () => void {
    const stop = { signalledAt: performance.now(), exitedAt: Infinity };
    this.#stops.set(host, [...this.#stops.get(host) ?? [], stop]);
    this.#underWay.add(stop);
    this.count += 1;
    return () => {
      stop.exitedAt = performance.now();
      this.#underWay.delete(stop);
    };
  }

  /**
   * Finds when the entry on a host was last told to stop by a time, if it
   * hadn't exited before another.
   */
  findSignal(
    host: string,
    { from, to }: { from: Milliseconds; to: Milliseconds },
  ): Milliseconds | undefined {
    return this.#stops.get(host)?.findLast(({ signalledAt, exitedAt }) =>
      signalledAt <= to && exitedAt >= from
    )?.signalledAt;
  }
}
