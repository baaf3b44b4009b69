import type { Milliseconds, Random } from "@heroncleat/base";
import type { VirtualTime } from "./virtual_time.ts";

const MAX_LATENCY: Milliseconds = 4;
const MESSAGE_LOSS = 0.01;
const SLOW_SHARE = 0.02;
/** Latency that a message of a replica or entry may have in addition. */
const MAX_SLOWNESS: Milliseconds = 700;

/** Messages in virtual time, some of which are slow or lost. @internal */
export class SimulatedNetwork {
  readonly #time: VirtualTime;
  readonly #random: Random;

  constructor(time: VirtualTime, random: Random) {
    this.#time = time;
    this.#random = random;
  }

  /** Delivers a message between replicas, or one of an entry. */
  send(deliver: () => void): void {
    if (!this.loses()) {
      const isSlow = this.#random() < SLOW_SHARE;
      const delay = isSlow ? this.#random() * MAX_SLOWNESS : 0;
      this.#time.schedule(this.latency() + delay, deliver);
    }
  }

  /** Whether a message gets lost. */
  loses(): boolean {
    return this.#random() < MESSAGE_LOSS;
  }

  /** Latency of a message that isn't slow. */
  latency(): Milliseconds {
    return 0.5 + this.#random() * MAX_LATENCY;
  }
}
