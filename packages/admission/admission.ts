import type { Fault, Milliseconds } from "@heroncleat/base";
import { createFault } from "@heroncleat/base";
import type { Limit } from "@heroncleat/schema";
import type { AdmissionDecision } from "./admission_decision.ts";
import type { AdmissionRequest } from "./admission_request.ts";
import type { AdmissionSettings } from "./admission_settings.ts";
import { ServiceTime } from "./service_time.ts";
import { WorkspaceQueue } from "./workspace_queue.ts";

/** An admitted request. */
type RunningRequest = {
  readonly workspace: string;
  readonly startedAt: Milliseconds;
};

/**
 * Decides which requests run, wait or are refused at one entry for one model
 * or service. Workspaces share by weight (start-time fair queueing); among
 * those that are not ahead of their share, the more urgent request goes first.
 *
 * @public
 */
export class Admission {
  readonly #settings: AdmissionSettings;
  readonly #workspaces = new Map<string, WorkspaceQueue>();
  readonly #running = new Map<string, RunningRequest>();
  readonly #serviceTime = new ServiceTime();
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

  /** Sets how many requests may run at once. */
  setCapacity(capacity: number): void {
    this.#capacity = capacity;
  }

  setLimits(limits: Readonly<Record<string, Limit>>): void {
    this.#limits = limits;
  }

  offer(request: AdmissionRequest, now: Milliseconds): AdmissionDecision {
    const queue = this.#queueOf(request.workspace);
    if (isIdle(queue)) {
      // An idle workspace earns no credit for the time it asked for nothing.
      queue.virtualTime = Math.max(queue.virtualTime, this.#leastTime());
    }
    const direct = this.#queued === 0 && this.#mayRun(request.workspace);
    if (direct) {
      this.#start(request, { queue, now });
      return { kind: "admitted" };
    }
    const fault = this.#findRefusal(request, { queue, now });
    if (fault !== undefined) {
      return { kind: "refused", fault };
    }
    const latestStart = now + this.#settings.mostWait[request.priority];
    queue.add({
      ...request,
      deadlineAt: Math.min(request.deadlineAt, latestStart),
    });
    this.#queued += 1;
    return { kind: "queued" };
  }

  /** Notes that a request ended. */
  release(token: string, now: Milliseconds): void {
    const running = this.#running.get(token);
    if (running === undefined) {
      return;
    }
    this.#running.delete(token);
    this.#queueOf(running.workspace).running -= 1;
    this.#serviceTime.ended(now - running.startedAt);
  }

  /** Takes a queued request back. */
  withdraw(token: string): void {
    this.#removeWhere((request) => request.token === token);
  }

  /** Removes the requests that can't be answered in time any more. */
  expire(now: Milliseconds): AdmissionRequest[] {
    return this.#removeWhere((request) => request.deadlineAt <= now);
  }

  /** Starts what may run now, in order. */
  startNext(now: Milliseconds): AdmissionRequest[] {
    const started: AdmissionRequest[] = [];
    while (this.#queued > 0 && this.#running.size < this.#capacity) {
      const workspace = this.#chooseWorkspace();
      if (workspace === undefined) {
        return started;
      }
      const queue = this.#queueOf(workspace);
      const request = queue.takeHead()!;
      this.#queued -= 1;
      this.#start(request, { queue, now });
      started.push(request);
    }
    return started;
  }

  /** Virtual time of the active workspace that is furthest behind. */
  #leastTime(): number {
    let least = Infinity;
    for (const queue of this.#workspaces.values()) {
      if (!isIdle(queue)) {
        least = Math.min(least, queue.virtualTime);
      }
    }
    return least === Infinity ? 0 : least;
  }

  #mayRun(workspace: string): boolean {
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
    const ready: { name: string; queue: WorkspaceQueue }[] = [];
    let least = Infinity;
    for (const [name, queue] of this.#workspaces) {
      if (queue.size > 0 && this.#mayRun(name)) {
        ready.push({ name, queue });
        least = Math.min(least, queue.virtualTime);
      }
    }
    const inShare = ready.filter(({ queue }) =>
      queue.virtualTime <= least + this.#settings.burst
    );
    inShare.sort((left, right) =>
      left.queue.headRank() - right.queue.headRank() ||
      left.queue.virtualTime - right.queue.virtualTime
    );
    return inShare[0]?.name;
  }

  #findRefusal(
    request: AdmissionRequest,
    options: { queue: WorkspaceQueue; now: Milliseconds },
  ): Fault | undefined {
    const { queue, now } = options;
    if (this.#capacity === 0) {
      return this.#refuse(
        "no_upstream",
        "No upstream takes work for this model or service now",
      );
    }
    if (this.#queued >= this.#settings.maxQueued) {
      return this.#refuse("overloaded", "The queue of this entry is full");
    }
    if (queue.size >= this.#limitOf(request.workspace).maxQueued) {
      return this.#refuse(
        "overloaded",
        `Workspace ${request.workspace} has its whole queue in use`,
      );
    }
    const wait = this.#expectedWait(queue, request.workspace);
    if (now + wait > request.deadlineAt) {
      return this.#refuse(
        "overloaded",
        "The answer would come after the deadline",
      );
    }
    return wait > this.#settings.mostWait[request.priority]
      ? this.#refuse("overloaded", "The answer would start too late to be used")
      : undefined;
  }

  /**
   * Wait of a request at the end of a workspace's queue, which moves at the
   * pace of its share. A workspace that is behind the others and has none
   * waiting gets the next free place.
   */
  #expectedWait(queue: WorkspaceQueue, workspace: string): Milliseconds {
    const share = this.#shareOf(workspace);
    const isNext = queue.size === 0 && queue.virtualTime <= this.#leastTime();
    const ahead = isNext ? 1 : (queue.size + 1) / share;
    return this.#serviceTime.timeFor(ahead, this.#capacity);
  }

  /** Part of the capacity that a workspace gets while others wait too. */
  #shareOf(workspace: string): number {
    const own = this.#limitOf(workspace).weight;
    let total = 0;
    for (const [name, queue] of this.#workspaces) {
      if (queue.size > 0 || queue.running > 0 || name === workspace) {
        total += this.#limitOf(name).weight;
      }
    }
    return own / Math.max(own, total);
  }

  #refuse(kind: "no_upstream" | "overloaded", cause: string): Fault {
    const retryAfter = Math.max(
      this.#settings.leastRetryAfter,
      this.#serviceTime.timeFor(this.#queued, this.#capacity),
    );
    return createFault(
      kind,
      `${cause}. Remedy: come back after the time in Retry-After.`,
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
    gone: (request: AdmissionRequest) => boolean,
  ): AdmissionRequest[] {
    const removed: AdmissionRequest[] = [];
    for (const queue of this.#workspaces.values()) {
      removed.push(...queue.removeWhere(gone));
    }
    this.#queued -= removed.length;
    return removed;
  }
}

function isIdle(queue: WorkspaceQueue): boolean {
  return queue.size === 0 && queue.running === 0;
}
