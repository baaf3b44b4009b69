import type { Priority } from "@heroncleat/schema";
import type { AdmissionRequest } from "./admission_request.ts";

/** Priorities, the most urgent first. */
const PRIORITIES: readonly Priority[] = [
  "icebreaker",
  "guest",
  "notice",
  "draft",
];

/**
 * The queued requests of one workspace, by priority and then by arrival.
 *
 * @internal
 */
export class WorkspaceQueue {
  /** Served requests divided by weight, on the scale shared by all. */
  virtualTime = 0;
  running = 0;
  readonly #lanes = new Map<Priority, AdmissionRequest[]>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  add(request: AdmissionRequest): void {
    const lane = this.#lanes.get(request.priority);
    if (lane === undefined) {
      this.#lanes.set(request.priority, [request]);
    } else {
      lane.push(request);
    }
    this.#size += 1;
  }

  /** Rank of the most urgent queued request; 0 is the most urgent. */
  headRank(): number {
    return PRIORITIES.findIndex((priority) =>
      (this.#lanes.get(priority)?.length ?? 0) > 0
    );
  }

  takeHead(): AdmissionRequest | undefined {
    for (const priority of PRIORITIES) {
      const head = this.#lanes.get(priority)?.shift();
      if (head !== undefined) {
        this.#size -= 1;
        return head;
      }
    }
    return undefined;
  }

  /** Removes and returns the requests for which `gone` holds. */
  removeWhere(
    gone: (request: AdmissionRequest) => boolean,
  ): AdmissionRequest[] {
    const removed: AdmissionRequest[] = [];
    for (const [priority, lane] of this.#lanes) {
      removed.push(...lane.filter(gone));
      this.#lanes.set(priority, lane.filter((request) => !gone(request)));
    }
    this.#size -= removed.length;
    return removed;
  }
}
