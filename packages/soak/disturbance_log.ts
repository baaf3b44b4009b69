import type { Milliseconds } from "@heroncleat/base";

/** A time in which something was disturbed; open while it goes on. */
type Disturbance = { readonly from: Milliseconds; until: Milliseconds };

/**
 * When each VM, and the group of control replicas as a whole, was last
 * disturbed. What is promised within a bound is promised by VMs that have been
 * calm for a while: a process that was just killed can't keep a time.
 */
export class DisturbanceLog {
  readonly #disturbances = new Map<string, Disturbance[]>();
  /** How long something must have been calm. */
  readonly #requiredTime: Milliseconds;

  constructor(needed: Milliseconds) {
    this.#requiredTime = needed;
  }

  /** Notes that something begins to be disturbed; ends when told so. */
  begin(what: string, at: Milliseconds): () => void {
    const disturbance = { from: at, until: Infinity };
    const known = this.#disturbances.get(what) ?? [];
    this.#disturbances.set(what, [...known, disturbance]);
    return () => disturbance.until = performance.now();
  }

  /** Whether something was calm at a time and for long enough before. */
  wasUndisturbed(what: string, at: Milliseconds): boolean {
    for (const { from, until } of this.#disturbances.get(what) ?? []) {
      if (from <= at && until > at - this.#requiredTime) {
        return false;
      }
    }
    return true;
  }

  /** Time since something was last disturbed. */
  undisturbedTime(what: string, at: Milliseconds): Milliseconds {
    let calm = Infinity;
    for (const { from, until } of this.#disturbances.get(what) ?? []) {
      if (from <= at) {
        calm = Math.min(calm, Math.max(0, at - until));
      }
    }
    return calm;
  }
}
