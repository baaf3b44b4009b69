import type { Fault, Milliseconds } from "@heroncleat/base";
import { createFault } from "@heroncleat/base";
import type { Limit } from "@heroncleat/schema";
import type { AdmissionDecision } from "./admission_decision.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import type { AdmissionSettings } from "./admission_settings.ts";
import { ServiceTimeEstimate } from "./service_time_estimate.ts";
import { WorkspaceQueue } from "./workspace_queue.ts";

type RunningRequest = {
  readonly workspace: string;
  readonly startedAt: Milliseconds;
};

/**
 * Decides which requests run, wait or are refused at one entry, for one model
 * or service. Workspaces share the capacity by weight (start-time fair
 * queueing); within the burst the most urgent request goes first.
 *
 * @public
 */
export class AdmissionController {
  readonly #settings: AdmissionSettings;
  readonly #workspaces = new Map<string, WorkspaceQueue>();
  readonly #running = new Map<string, RunningRequest>();
  readonly #serviceTime = new ServiceTimeEstimate();
  #limits: Readonly<Record<string, Limit>> = {};
  #capacity = 0;
  #queued = 0;

  constructor(settings: AdmissionSettings) {
    this.#settings = settings;
  }

  get running(): number {
    return this.#running.size;
  }

  get queued(): number {
    return this.#queued;
  }

  /** Sets the number of requests that may run concurrently. */
  setCapacity(capacity: number): void {
    this.#capacity = capacity;
  }

  setLimits(limits: Readonly<Record<string, Limit>>): void {
    this.#limits = limits;
  }

  /** Admits, queues or refuses a new request. */
  offer(request: AdmissionRequest, now: Milliseconds): AdmissionDecision {
    const queue = this.#queueOf(request.workspace);
    if (isIdle(queue)) {
      // An idle workspace earns no credit for the time it sent no requests.
      queue.virtualTime = Math.max(queue.virtualTime, this.#minVirtualTime());
    }
    const canStartNow = this.#queued === 0 && this.#canRun(request.workspace);
    if (canStartNow) {
      this.#start(request, { queue, now });
      return { kind: "admitted" };
    }
    const fault = this.#findRefusal(request, { queue, now });
    if (fault !== undefined) {
      return { kind: "refused", fault };
    }
    const latestStart = now + this.#settings.maxWait[request.priority];
    queue.add({
      ...request,
      deadlineAt: Math.min(request.deadlineAt, latestStart),
    });
    this.#queued += 1;
    return { kind: "queued" };
  }

  /** Frees the capacity of a request that ended. */
  release(token: string, now: Milliseconds): void {
    const running = this.#running.get(token);
    if (running === undefined) {
      return;
    }
    this.#running.delete(token);
    this.#queueOf(running.workspace).running -= 1;
    this.#serviceTime.recordDuration(now - running.startedAt);
  }

  /** Removes a request from the queue. */
  withdraw(token: string): void {
    this.#removeWhere((request) => request.token === token);
  }

  /** Removes and returns the queued requests whose deadline has passed. */
  expire(now: Milliseconds): AdmissionRequest[] {
    return this.#removeWhere((request) => request.deadlineAt <= now);
  }

  /** Starts queued requests while there is capacity and returns them. */
  startNext(now: Milliseconds): AdmissionRequest[] {
    const started: AdmissionRequest[] = [];
    while (this.#queued > 0 && this.#running.size < this.#capacity) {
      const workspace = this.#chooseWorkspace();
      if (workspace === undefined) {
        return started;
      }
      const queue = this.#queueOf(workspace);
      const request = queue.removeHead()!;
      this.#queued -= 1;
      this.#start(request, { queue, now });
      started.push(request);
    }
    return started;
  }

  /** Returns the lowest virtual time of the active workspaces. */
  #minVirtualTime(): number {
    let minimum = Infinity;
    for (const queue of this.#workspaces.values()) {
      if (!isIdle(queue)) {
        minimum = Math.min(minimum, queue.virtualTime);
      }
    }
    return minimum === Infinity ? 0 : minimum;
  }

  #canRun(workspace: string): boolean {
    const { maxRunning } = this.#limitOf(workspace);
    return this.#running.size < this.#capacity &&
      this.#queueOf(workspace).running < maxRunning;
  }

  #start(
    request: AdmissionRequest,
    options: { queue: WorkspaceQueue; now: Milliseconds },
  ): void {
    const { queue, now } = options;
    const { weight } = this.#limitOf(request.workspace);
    queue.virtualTime += 1 / weight;
    queue.running += 1;
    const { workspace, token } = request;
    this.#running.set(token, { workspace, startedAt: now });
  }

  #chooseWorkspace(): string | undefined {
    const eligible: { name: string; queue: WorkspaceQueue }[] = [];
    let minimum = Infinity;
    for (const [name, queue] of this.#workspaces) {
      if (queue.size > 0 && this.#canRun(name)) {
        eligible.push({ name, queue });
        minimum = Math.min(minimum, queue.virtualTime);
      }
    }
    const withinBurst = eligible.filter(({ queue }) =>
      queue.virtualTime <= minimum + this.#settings.burst
    );
    withinBurst.sort((left, right) =>
      left.queue.headPriorityRank() - right.queue.headPriorityRank() ||
      left.queue.virtualTime - right.queue.virtualTime
    );
    return withinBurst[0]?.name;
  }

  #findRefusal(
    request: AdmissionRequest,
    options: { queue: WorkspaceQueue; now: Milliseconds },
  ): Fault | undefined {
    const { queue, now } = options;
    if (this.#capacity === 0) {
      return this.#buildRefusal(
        "no_upstream",
        "No upstream accepts requests for this model or service now",
      );
    }
    if (this.#queued >= this.#settings.maxQueued) {
      return this.#buildRefusal(
        "overloaded",
        "The queue of this entry is full",
      );
    }
    if (queue.size >= this.#limitOf(request.workspace).maxQueued) {
      return this.#buildRefusal(
        "overloaded",
        `The queue of workspace ${request.workspace} is full`,
      );
    }
    const wait = this.#expectedWait(queue, request.workspace);
    if (now + wait > request.deadlineAt) {
      return this.#buildRefusal(
        "overloaded",
        "The expected wait exceeds the deadline",
      );
    }
    return wait > this.#settings.maxWait[request.priority]
      ? this.#buildRefusal(
        "overloaded",
        "The expected wait exceeds the limit for the priority",
      )
      : undefined;
  }

  /**
   * Estimates the wait at the end of a workspace's queue, which drains at the
   * rate of the workspace's share. A workspace with an empty queue and the
   * lowest virtual time gets the next free slot.
   */
  #expectedWait(queue: WorkspaceQueue, workspace: string): Milliseconds {
    const share = this.#shareOf(workspace);
    const isNext = queue.size === 0 &&
      queue.virtualTime <= this.#minVirtualTime();
    const requests = isNext ? 1 : (queue.size + 1) / share;
    return this.#serviceTime.estimateDrainTime(requests, this.#capacity);
  }

  /** Returns the share of the capacity due to a workspace, by weight. */
  #shareOf(workspace: string): number {
    const weight = this.#limitOf(workspace).weight;
    let total = 0;
    for (const [name, queue] of this.#workspaces) {
      if (queue.size > 0 || queue.running > 0 || name === workspace) {
        total += this.#limitOf(name).weight;
      }
    }
    return weight / Math.max(weight, total);
  }

  #buildRefusal(kind: "no_upstream" | "overloaded", cause: string): Fault {
    const retryAfter = Math.max(
      this.#settings.minRetryAfter,
      this.#serviceTime.estimateDrainTime(this.#queued, this.#capacity),
    );
    return createFault(
      kind,
      `${cause}. Remedy: retry after the time in Retry-After.`,
      { retryAfter },
    );
  }

  #limitOf(
    workspace: string,
  ): { weight: number; maxRunning: number; maxQueued: number } {
    return Object.hasOwn(this.#limits, workspace) ? this.#limits[workspace]! : {
      weight: this.#settings.defaultWeight,
      maxRunning: this.#settings.defaultMaxRunning,
      maxQueued: this.#settings.defaultMaxQueued,
    };
  }

  #queueOf(workspace: string): WorkspaceQueue {
    let queue = this.#workspaces.get(workspace);
    if (queue === undefined) {
      queue = new WorkspaceQueue();
      this.#workspaces.set(workspace, queue);
    }
    return queue;
  }

  #removeWhere(
    shouldRemove: (request: AdmissionRequest) => boolean,
  ): AdmissionRequest[] {
    const removed: AdmissionRequest[] = [];
    for (const queue of this.#workspaces.values()) {
      removed.push(...queue.removeWhere(shouldRemove));
    }
    this.#queued -= removed.length;
    return removed;
  }
}

function isIdle(queue: WorkspaceQueue): boolean {
  return queue.size === 0 && queue.running === 0;
}
