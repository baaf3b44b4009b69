import type { Milliseconds, Random } from "@heroncleat/base";

type Event = { readonly at: Milliseconds; readonly run: () => void };

/** Runs scheduled functions in the order of their times. @internal */
export class VirtualTime {
  readonly #random: Random;
  /** A binary heap, the earliest event first. */
  readonly #events: Event[] = [];
  #now: Milliseconds = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  get now(): Milliseconds {
    return this.#now;
  }

  runUntil(end: Milliseconds): void {
    while (this.#events.length > 0 && this.#now < end) {
      const { at, run } = this.#takeFirst();
      this.#now = at;
      run();
    }
  }

  schedule(delay: Milliseconds, run: () => void): void {
    const event = { at: this.#now + delay, run };
    let child = this.#events.push(event) - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (this.#events[parent]!.at <= event.at) {
        break;
      }
      this.#events[child] = this.#events[parent]!;
      child = parent;
    }
    this.#events[child] = event;
  }

  /** Runs a function again and again, after half to one and a half intervals. */
  repeat(interval: Milliseconds, run: () => void): void {
    const next = () => {
      run();
      this.schedule(interval * (0.5 + this.#random()), next);
    };
    this.schedule(interval * this.#random(), next);
  }

  #takeFirst(): Event {
    const events = this.#events;
    const first = events[0]!;
    const last = events.pop()!;
    if (events.length > 0) {
      this.#sink(last);
    }
    return first;
  }

  /** Puts an event in the place of the first one, and restores the order. */
  #sink(event: Event): void {
    const events = this.#events;
    let parent = 0;
    for (;;) {
      let child = parent * 2 + 1;
      if (child >= events.length) {
        break;
      }
      const sibling = child + 1;
      if (sibling < events.length && events[sibling]!.at < events[child]!.at) {
        child = sibling;
      }
      if (events[child]!.at >= event.at) {
        break;
      }
      events[parent] = events[child]!;
      parent = child;
    }
    events[parent] = event;
  }
}
