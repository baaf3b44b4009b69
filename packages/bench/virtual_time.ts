/** An action with the time at which it runs. */
type ScheduledAction = {
  readonly at: number;
  readonly order: number;
  action: (() => void) | undefined;
};

/**
 * A simulated clock that advances from one scheduled action to the next.
 * Actions due at the same time run in scheduling order, which makes runs
 * deterministic.
 */
export class VirtualTime {
  now = 0;
  readonly #heap: ScheduledAction[] = [];
  #order = 0;

  /** Schedules an action after a delay; returns a function that cancels it. */
  schedule(action: () => void, delay: number): () => void {
    this.#order += 1;
    const scheduled: ScheduledAction = {
      at: this.now + Math.max(0, delay),
      order: this.#order,
      action,
    };
    this.#push(scheduled);
    return () => {
      scheduled.action = undefined;
    };
  }

  /** Runs an action repeatedly, first after one interval. */
  every(interval: number, action: () => void): void {
    this.schedule(() => {
      action();
      this.every(interval, action);
    }, interval);
  }

  /**
   * Runs all actions due up to and including `until`, and advances the clock to
   * it.
   */
  run(until: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const scheduled = this.#pop();
      this.now = scheduled.at;
      scheduled.action?.();
    }
    this.now = until;
  }

  #push(scheduled: ScheduledAction): void {
    const heap = this.#heap;
    heap.push(scheduled);
    let index = heap.length - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(heap[index]!, heap[parent]!)) {
        return;
      }
      swap(heap, index, parent);
      index = parent;
    }
  }

  #pop(): ScheduledAction {
    const heap = this.#heap;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) {
      return top;
    }
    heap[0] = last;
    let index = 0;
    while (true) {
      const left = 2 * index + 1;
      const right = left + 1;
      let earliest = index;
      if (left < heap.length && isBefore(heap[left]!, heap[earliest]!)) {
        earliest = left;
      }
      if (right < heap.length && isBefore(heap[right]!, heap[earliest]!)) {
        earliest = right;
      }
      if (earliest === index) {
        return top;
      }
      swap(heap, index, earliest);
      index = earliest;
    }
  }
}

function isBefore(left: ScheduledAction, right: ScheduledAction): boolean {
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}

function swap(heap: ScheduledAction[], left: number, right: number): void {
  const previous = heap[left]!;
  heap[left] = heap[right]!;
  heap[right] = previous;
}
