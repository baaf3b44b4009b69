import type { Milliseconds } from "@heroncleat/base";

/** Interval of a fault; `until` is infinite while it lasts. */
type Disturbance = { readonly from: Milliseconds; until: Milliseconds };

/**
 * Records when each VM, and the group of control replicas as a whole, is
 * affected by an injected fault. Time bounds are checked only for targets that
 * have been undisturbed for a while.
 */
export class DisturbanceLog {
  readonly #disturbances = new Map<string, Disturbance[]>();
  /** Time without a fault after which a target counts as undisturbed. */
  readonly #requiredTime: Milliseconds;

  constructor(requiredTime: Milliseconds) {
    this.#requiredTime = requiredTime;
  }

  /** Records the start of a fault; the returned function ends it. */
  begin(target: string, at: Milliseconds): () => void {
    const disturbance = { from: at, until: Infinity };
    const recorded = this.#disturbances.get(target) ?? [];
    this.#disturbances.set(target, [...recorded, disturbance]);
    return () => disturbance.until = performance.now();
  }

  /** Whether a target was undisturbed at a time and long enough before. */
  wasUndisturbed(target: string, at: Milliseconds): boolean {
    for (const { from, until } of this.#disturbances.get(target) ?? []) {
      if (from <= at && until > at - this.#requiredTime) {
        return false;
      }
    }
    return true;
  }

  /** Time since the last fault of a target ended; infinite without one. */
  undisturbedTime(target: string, at: Milliseconds): Milliseconds {
    let time = Infinity;
    for (const { from, until } of this.#disturbances.get(target) ?? []) {
      if (from <= at) {
        time = Math.min(time, Math.max(0, at - until));
      }
    }
    return time;
  }
}
