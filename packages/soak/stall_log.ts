import type { Milliseconds } from "@heroncleat/base";

const CHECK_INTERVAL: Milliseconds = 50;
/** Time for which upstreams may be silent and still count as responsive. */
const MAX_SILENCE: Milliseconds = 250;

/**
 * Records when the process of the soak itself stood still, as on a machine that
 * is busy: then its upstreams and links were silent, and entries can't tell that
 * they are sound.
 */
export class StallLog {
  readonly #stalls: { readonly from: Milliseconds; until: Milliseconds }[] = [];
  #checkedAt = performance.now();
  #timer: NodeJS.Timeout | undefined;
  /** Longest of them. */
  longest: Milliseconds = 0;
  #startedAt = performance.eventLoopUtilization();

  /**
   * Share of the time in which the process had work to do. Near 1 it delays all
   * links and upstreams, and findings may come from that alone.
   */
  get utilization(): number {
    return performance.eventLoopUtilization(this.#startedAt).utilization;
  }

  start(): void {
    this.#checkedAt = performance.now();
    this.#startedAt = performance.eventLoopUtilization();
    this.#timer = setInterval(() => this.check(), CHECK_INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Records the time since the last check, if it is too long. */
  check(): void {
    const from = this.#checkedAt;
    const until = performance.now();
    this.#checkedAt = until;
    this.longest = Math.max(this.longest, until - from);
    if (until - from > MAX_SILENCE) {
      this.#stalls.push({ from, until });
    }
  }

  /** Whether the process stood still for long at some time between two. */
  hadStall(from: Milliseconds, to: Milliseconds): boolean {
    this.check();
    return this.#stalls.some((stall) =>
      stall.from <= to && stall.until >= from
    );
  }
}
