import type { Priority } from "@heroncleat/schema";
import type { AdmissionRequest } from "./admission_request.ts";

const PRIORITIES_BY_URGENCY: readonly Priority[] = [
  "icebreaker",
  "guest",
  "notice",
  "draft",
];

/**
 * The queue of one workspace, ordered by priority and then by arrival.
 *
 * @internal
 */
export class WorkspaceQueue {
  /** Started requests divided by weight, comparable across workspaces. */
  virtualTime = 0;
  running = 0;
  readonly #requestsByPriority = new Map<Priority, AdmissionRequest[]>();
  #size = 0;

  get size(): number {
    return this.#size;
  }

  add(request: AdmissionRequest): void {
    const requests = this.#requestsByPriority.get(request.priority);
    if (requests === undefined) {
      this.#requestsByPriority.set(request.priority, [request]);
    } else {
      requests.push(request);
    }
    this.#size += 1;
  }

  /** Returns the rank of the most urgent queued request; 0 ranks first. */
  headPriorityRank(): number {
    return PRIORITIES_BY_URGENCY.findIndex((priority) =>
      (this.#requestsByPriority.get(priority)?.length ?? 0) > 0
    );
  }

  removeHead(): AdmissionRequest | undefined {
    for (const priority of PRIORITIES_BY_URGENCY) {
      const head = this.#requestsByPriority.get(priority)?.shift();
      if (head !== undefined) {
        this.#size -= 1;
        return head;
      }
    }
    return undefined;
  }

  /** Removes and returns the requests that match the predicate. */
  removeWhere(
    shouldRemove: (request: AdmissionRequest) => boolean,
  ): AdmissionRequest[] {
    const removed: AdmissionRequest[] = [];
    for (const [priority, requests] of this.#requestsByPriority) {
      removed.push(...requests.filter(shouldRemove));
      this.#requestsByPriority.set(
        priority,
        requests.filter((request) => !shouldRemove(request)),
      );
    }
    this.#size -= removed.length;
    return removed;
  }
}
