import {
  ADMISSION_DEFAULTS,
  AdmissionController,
  entryCapacity,
  RetryBudget,
} from "@heroncleat/admission";
import {
  createFault,
  type Fault,
  type Milliseconds,
  unreachable,
} from "@heroncleat/base";
import {
  type RoutedRequest,
  Router,
  ROUTING_DEFAULTS,
} from "@heroncleat/routing";
import type { Limit } from "@heroncleat/schema";
import type { AdmissionResult } from "./admission_result.ts";
import type { DispatchMessage } from "./dispatch_message.ts";
import type { EntryContext } from "./entry_context.ts";
import { hashToUnit } from "./hash_to_unit.ts";

/** Admission control for one model or service, with its waiting requests. */
type AdmissionQueue = {
  readonly target: Pick<RoutedRequest, "model" | "service">;
  readonly admission: AdmissionController;
  readonly waiting: Map<string, (result: AdmissionResult) => void>;
};

const UNROUTABLE_MESSAGES = {
  no_selector: "No selector matches this request. Remedy: ask an operator to " +
    "set one for its workspace, model or service",
  all_draining: "All groups for this request are draining. Remedy: retry " +
    "after the time in Retry-After",
  no_upstream: "No upstream serves this request now, or those that do have " +
    "reached their rate limits. Remedy: retry after the time in Retry-After",
  all_failing: "All upstreams for this request are failing. Remedy: retry " +
    "after the time in Retry-After",
} as const;

const RETRY_AFTER_MS = 1000;

/** Routing and admission control of one entry. */
export class RequestDispatcher {
  readonly #context: EntryContext;
  readonly #router: Router;
  readonly #retryBudget: RetryBudget;
  readonly #queues = new Map<string, AdmissionQueue>();
  /** Names of the upstreams that announce themselves. */
  readonly #upstreams = new Set<string>();
  #limits: Readonly<Record<string, Limit>> = {};
  #entryCount = 1;

  constructor(context: EntryContext) {
    this.#context = context;
    const { policy } = context.settings;
    this.#retryBudget = new RetryBudget(policy.retry_budget);
    this.#router = new Router({
      ...ROUTING_DEFAULTS,
      firstTokenTarget: policy.first_token_target,
      betweenTokensTarget: policy.between_tokens_target,
      weighting: policy.weighting,
    }, { entry: context.name, hash: hashToUnit });
  }

  handle(message: DispatchMessage): void {
    const now = this.#context.clock.now();
    switch (message.kind) {
      case "tick":
        this.#onTick();
        return;
      case "entries":
        this.#entryCount = Math.max(1, message.alive.length);
        this.#context.permits.setEntries(message.alive, this.#entryCount);
        this.#router.setEntryCount(this.#entryCount);
        this.#refreshCapacity();
        return;
      case "configuration":
        this.#router.configure(message.view, message.confirmedAt);
        this.#setLimits(message.view.limits);
        return;
      case "upstream":
        this.#router.updateUpstream(message.announcement, now);
        this.#upstreams.add(message.announcement.name);
        this.#refreshCapacity();
        return;
      case "upstream_lapsed":
        this.#router.removeUpstream(message.name);
        this.#upstreams.delete(message.name);
        this.#refreshCapacity();
        return;
      case "cache_event":
        this.#router.applyCacheEvent(message.upstream, message.event);
        return;
      case "admit":
        this.#admit(message);
        return;
      case "release":
        this.#release(message);
        return;
      case "route":
        this.#route(message);
        return;
      case "first_token":
        this.#router.recordFirstToken(message.upstream, message);
        this.#context.metrics.timing("first_token", message.measured);
        return;
      case "between_tokens":
        this.#router.recordTokenInterval(message.upstream, message.measured);
        return;
      case "ended":
        this.#router.recordEnd(message.upstream, { ...message, now });
        return;
      case "inspect":
        message.read(this.#router);
        return;
      default:
        unreachable(message);
    }
  }

  #onTick(): void {
    const now = this.#context.clock.now();
    for (const queue of this.#queues.values()) {
      for (const expired of queue.admission.expire(now)) {
        this.#reply(queue, expired.token, {
          kind: "refused",
          fault: createFault(
            "overloaded",
            "The deadline passed in the queue. Remedy: retry later or " +
              "allow more time.",
            { retryAfter: RETRY_AFTER_MS },
          ),
        });
      }
      this.#refreshQueueCapacity(queue);
      this.#admitNext(queue);
    }
  }

  #admit(message: Extract<DispatchMessage, { kind: "admit" }>): void {
    if (!this.#context.lease.isValid) {
      message.reply({ kind: "refused", fault: createLeaseLapsedFault() });
      return;
    }
    const queue = this.#queueFor(message.target);
    const now = this.#context.clock.now();
    const decision = queue.admission.offer(message.request, now);
    switch (decision.kind) {
      case "admitted":
        message.reply({ kind: "admitted" });
        return;
      case "refused":
        message.reply(decision);
        return;
      case "queued":
        queue.waiting.set(message.request.token, message.reply);
        return;
    }
  }

  #release(message: Extract<DispatchMessage, { kind: "release" }>): void {
    const queue = this.#queueFor(message.target);
    queue.waiting.delete(message.token);
    queue.admission.withdraw(message.token);
    queue.admission.release(message.token, this.#context.clock.now());
    this.#admitNext(queue);
  }

  #admitNext(queue: AdmissionQueue): void {
    const now = this.#context.clock.now();
    for (const request of queue.admission.startNext(now)) {
      this.#reply(queue, request.token, { kind: "admitted" });
    }
  }

  #reply(queue: AdmissionQueue, token: string, result: AdmissionResult): void {
    const reply = queue.waiting.get(token);
    queue.waiting.delete(token);
    reply?.(result);
  }

  #route(message: Extract<DispatchMessage, { kind: "route" }>): void {
    if (!this.#context.lease.isValid) {
      message.reply({ kind: "unroutable", fault: createLeaseLapsedFault() });
      return;
    }
    if (!message.isRetry) {
      this.#retryBudget.recordFirstAttempt();
    } else if (!this.#retryBudget.tryConsume()) {
      this.#context.metrics.increment("retry_budget.empty");
      message.reply({
        kind: "unroutable",
        fault: createUnroutableFault(UNROUTABLE_MESSAGES.all_failing),
      });
      return;
    }
    const { clock, permits, instanceIdOf } = this.#context;
    const { request, token } = message;
    const closed = [...this.#listWithoutTurn(), ...this.#listUnwilling()];
    const decision = this.#router.route(
      { ...request, exclude: [...request.exclude, ...closed] },
      { token, now: clock.now() },
    );
    if (decision.kind === "chosen") {
      permits.take(instanceIdOf(decision.choice.upstream), clock.steady());
      message.reply(decision);
      return;
    }
    message.reply({
      kind: "unroutable",
      fault: createUnroutableFault(
        UNROUTABLE_MESSAGES[decision.reason],
        this.#restDelay(request),
      ),
    });
  }

  /** Upstreams with a rate limit to which it isn't this entry's turn to send. */
  #listWithoutTurn(): string[] {
    const { permits, instanceIdOf, clock } = this.#context;
    return permits.areNeeded
      ? [...this.#upstreams].filter((name) =>
        !permits.isAvailable(instanceIdOf(name), clock.steady())
      )
      : [];
  }

  /** Upstreams that stated that they rest or leave. */
  #listUnwilling(): string[] {
    const { statements, instanceIdOf, clock } = this.#context;
    const now = clock.steady();
    return [...this.#upstreams].filter((name) => {
      const instance = instanceIdOf(name);
      return statements.isResting(instance, now) ||
        statements.isLeaving(instance);
    });
  }

  /**
   * Time until an upstream's rest ends, if all that serve a request and weren't
   * tried rest.
   */
  #restDelay(request: RoutedRequest): Milliseconds | undefined {
    const { statements, instanceIdOf, clock } = this.#context;
    const now = clock.steady();
    let earliest = Infinity;
    for (const name of this.#router.listServing(request)) {
      const until = statements.restsUntil(instanceIdOf(name));
      if (until > now) {
        earliest = Math.min(earliest, until - now);
      } else if (!request.exclude.includes(name)) {
        return undefined;
      }
    }
    return earliest === Infinity ? undefined : earliest;
  }

  #queueFor(target: Pick<RoutedRequest, "model" | "service">): AdmissionQueue {
    const key = `${target.service}/${target.model}`;
    let queue = this.#queues.get(key);
    if (queue === undefined) {
      const admission = new AdmissionController({
        ...ADMISSION_DEFAULTS,
        maxQueued: this.#context.entry.max_queued,
      });
      queue = { target, admission, waiting: new Map() };
      admission.setLimits(this.#limits);
      this.#queues.set(key, queue);
      this.#refreshQueueCapacity(queue);
    }
    return queue;
  }

  #setLimits(limits: Readonly<Record<string, Limit>>): void {
    this.#limits = limits;
    for (const queue of this.#queues.values()) {
      queue.admission.setLimits(limits);
    }
  }

  #refreshCapacity(): void {
    for (const queue of this.#queues.values()) {
      this.#refreshQueueCapacity(queue);
      this.#admitNext(queue);
    }
  }

  #refreshQueueCapacity(queue: AdmissionQueue): void {
    const capacity = entryCapacity({
      slots: this.#router.slotsFor(queue.target),
      freeSlots: this.#router.freeSlotsFor(queue.target),
      running: queue.admission.running,
      entries: this.#entryCount,
    });
    const { max_running } = this.#context.entry;
    queue.admission.setCapacity(Math.min(capacity, max_running));
  }
}

function createLeaseLapsedFault(): Fault {
  return createFault(
    "lease_lapsed",
    "This entry can't confirm its configuration. Remedy: use another entry; " +
      "operators check that most control replicas run.",
    { retryAfter: RETRY_AFTER_MS },
  );
}

function createUnroutableFault(
  message: string,
  retryAfter: Milliseconds = RETRY_AFTER_MS,
): Fault {
  return createFault("no_upstream", `${message}.`, { retryAfter });
}
