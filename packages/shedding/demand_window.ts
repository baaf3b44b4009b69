import type { Milliseconds } from "@heroncleat/base";
import { demandLimits } from "./demand_limits.ts";

/** Number of slots that the window is divided into. */
const SLOTS = 20;
const SLOT_LENGTH: Milliseconds = demandLimits.window / SLOTS;

/** Sums in the window or in one slot of it. */
type Sums = {
  /** Engine time of all requests. */
  asked: Milliseconds;
  /** Engine time and number of the admitted ones. */
  admitted: Milliseconds;
  admittedCount: number;
};

/** Requests of the last 2 s, and those of them that were admitted. @internal */
export class DemandWindow {
  readonly #slots: Sums[] = [];
  #slot = 0;
  #sums: Sums = { asked: 0, admitted: 0, admittedCount: 0 };

  recordAsked(work: Milliseconds, now: Milliseconds): void {
    this.#current(now).asked += work;
    this.#sums.asked += work;
  }

  recordAdmitted(work: Milliseconds, now: Milliseconds): void {
    const current = this.#current(now);
    current.admitted += work;
    current.admittedCount += 1;
    this.#sums.admitted += work;
    this.#sums.admittedCount += 1;
  }

  sums(now: Milliseconds): Readonly<Sums> {
    this.#advance(now);
    return this.#sums;
  }

  #current(now: Milliseconds): Sums {
    this.#advance(now);
    return this.#slots[this.#slot % SLOTS] ??= {
      asked: 0,
      admitted: 0,
      admittedCount: 0,
    };
  }

  /** Clears the slots that have left the window. */
  #advance(now: Milliseconds): void {
    const slot = Math.floor(now / SLOT_LENGTH);
    if (slot <= this.#slot) {
      return;
    }
    const passed = Math.min(SLOTS, slot - this.#slot);
    for (let step = 0; step < passed; step += 1) {
      this.#slots[(slot - step) % SLOTS] = {
        asked: 0,
        admitted: 0,
        admittedCount: 0,
      };
    }
    this.#slot = slot;
    // Computed anew, as adding and subtracting would leave rounding errors.
    this.#sums = { asked: 0, admitted: 0, admittedCount: 0 };
    for (const sums of this.#slots) {
      this.#sums.asked += sums?.asked ?? 0;
      this.#sums.admitted += sums?.admitted ?? 0;
      this.#sums.admittedCount += sums?.admittedCount ?? 0;
    }
  }
}
