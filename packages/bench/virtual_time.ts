/** An action at a time. */
type Scheduled = {
  readonly at: number;
  readonly order: number;
  action: (() => void) | undefined;
};

/**
 * Time that passes only from one scheduled action to the next. Actions of one
 * moment run in the order they were scheduled in, so every run is the same.
 */
export class VirtualTime {
  now = 0;
  readonly #heap: Scheduled[] = [];
  #order = 0;

  /** Runs an action later; returns how to cancel it. */
  schedule(action: () => void, delay: number): () => void {
    this.#order += 1;
    const entry: Scheduled = {
      at: this.now + Math.max(0, delay),
      order: this.#order,
      action,
    };
    this.#push(entry);
    return () => {
      entry.action = undefined;
    };
  }

  /** Runs an action again and again. */
  every(interval: number, action: () => void): void {
    this.schedule(() => {
      action();
      this.every(interval, action);
    }, interval);
  }

  /** Runs everything that is due before `until`. */
  run(until: number): void {
    while (this.#heap.length > 0 && this.#heap[0]!.at <= until) {
      const entry = this.#pop();
      this.now = entry.at;
      entry.action?.();
    }
    this.now = until;
  }

  #push(entry: Scheduled): void {
    const heap = this.#heap;
    heap.push(entry);
    let place = heap.length - 1;
    while (place > 0) {
      const parent = (place - 1) >> 1;
      if (!isBefore(heap[place]!, heap[parent]!)) {
        return;
      }
      swap(heap, place, parent);
      place = parent;
    }
  }

  #pop(): Scheduled {
    const heap = this.#heap;
    const top = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) {
      return top;
    }
    heap[0] = last;
    let place = 0;
    while (true) {
      const left = 2 * place + 1;
      const right = left + 1;
      let least = place;
      if (left < heap.length && isBefore(heap[left]!, heap[least]!)) {
        least = left;
      }
      if (right < heap.length && isBefore(heap[right]!, heap[least]!)) {
        least = right;
      }
      if (least === place) {
        return top;
      }
      swap(heap, place, least);
      place = least;
    }
  }
}

function isBefore(left: Scheduled, right: Scheduled): boolean {
  return left.at < right.at ||
    (left.at === right.at && left.order < right.order);
}

function swap(heap: Scheduled[], left: number, right: number): void {
  const kept = heap[left]!;
  heap[left] = heap[right]!;
  heap[right] = kept;
}
