import {
  ADMISSION_DEFAULTS,
  AdmissionController,
  entryCapacity,
  RetryBudget,
} from "@heroncleat/admission";
import { createFault, type Fault, unreachable } from "@heroncleat/base";
import {
  type RoutedRequest,
  Router,
  ROUTING_DEFAULTS,
} from "@heroncleat/routing";
import type { Limit } from "@heroncleat/schema";
import type { AdmissionAnswer } from "./admission_answer.ts";
import type { DispatchMessage } from "./dispatch_message.ts";
import type { EntryContext } from "./entry_context.ts";
import { hashToUnit } from "./hash_to_unit.ts";

/** Admission to one model or service, and who waits for it. */
type Lane = {
  readonly target: Pick<RoutedRequest, "model" | "service">;
  readonly admission: AdmissionController;
  readonly waiting: Map<string, (answer: AdmissionAnswer) => void>;
};

const UNROUTABLE = {
  no_selector: "No selector takes this request. Remedy: ask an operator to " +
    "set one for its workspace, model or service",
  all_draining: "All groups for this request are draining. Remedy: come back " +
    "after the time in Retry-After",
  no_upstream: "No upstream serves this request now. Remedy: come back after " +
    "the time in Retry-After",
  all_failing:
    "All upstreams for this request are failing. Remedy: come back " +
    "after the time in Retry-After",
} as const;

const RETRY_AFTER = 1000;

/** Owns routing and admission of one entry. */
export class DispatchHost {
  readonly #context: EntryContext;
  readonly #router: Router;
  readonly #budget: RetryBudget;
  readonly #lanes = new Map<string, Lane>();
  #limits: Readonly<Record<string, Limit>> = {};
  #entries = 1;

  constructor(context: EntryContext) {
    this.#context = context;
    const { policy } = context.settings;
    this.#budget = new RetryBudget(policy.retry_budget);
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
        this.#entries = Math.max(1, message.alive);
        this.#router.setEntryCount(this.#entries);
        this.#refreshCapacity();
        return;
      case "configuration":
        this.#router.configure(message.view);
        this.#setLimits(message.view.limits);
        return;
      case "upstream":
        this.#router.updateUpstream(message.announcement, now);
        this.#refreshCapacity();
        return;
      case "upstream_lapsed":
        this.#router.removeUpstream(message.name);
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
    for (const lane of this.#lanes.values()) {
      for (const expired of lane.admission.expire(now)) {
        this.#answer(lane, expired.token, {
          kind: "refused",
          fault: createFault(
            "overloaded",
            "The deadline passed in the queue. Remedy: come back later or " +
              "allow more time.",
            { retryAfter: RETRY_AFTER },
          ),
        });
      }
      this.#refreshLane(lane);
      this.#startNext(lane);
    }
  }

  #admit(message: Extract<DispatchMessage, { kind: "admit" }>): void {
    if (!this.#context.lease.isValid) {
      message.reply({ kind: "refused", fault: describeLapse() });
      return;
    }
    const lane = this.#laneOf(message.target);
    const now = this.#context.clock.now();
    const decision = lane.admission.offer(message.request, now);
    switch (decision.kind) {
      case "admitted":
        message.reply({ kind: "admitted" });
        return;
      case "refused":
        message.reply(decision);
        return;
      case "queued":
        lane.waiting.set(message.request.token, message.reply);
        return;
    }
  }

  #release(message: Extract<DispatchMessage, { kind: "release" }>): void {
    const lane = this.#laneOf(message.target);
    lane.waiting.delete(message.token);
    lane.admission.withdraw(message.token);
    lane.admission.release(message.token, this.#context.clock.now());
    this.#startNext(lane);
  }

  #startNext(lane: Lane): void {
    const now = this.#context.clock.now();
    for (const request of lane.admission.startNext(now)) {
      this.#answer(lane, request.token, { kind: "admitted" });
    }
  }

  #answer(lane: Lane, token: string, answer: AdmissionAnswer): void {
    const reply = lane.waiting.get(token);
    lane.waiting.delete(token);
    reply?.(answer);
  }

  #route(message: Extract<DispatchMessage, { kind: "route" }>): void {
    if (!this.#context.lease.isValid) {
      message.reply({ kind: "unroutable", fault: describeLapse() });
      return;
    }
    if (!message.isRetry) {
      this.#budget.recordFirstAttempt();
    } else if (!this.#budget.tryConsume()) {
      this.#context.metrics.increment("retry_budget.empty");
      message.reply({
        kind: "unroutable",
        fault: describeUnroutable(UNROUTABLE.all_failing),
      });
      return;
    }
    const now = this.#context.clock.now();
    const { token } = message;
    const decision = this.#router.route(message.request, { token, now });
    message.reply(
      decision.kind === "chosen" ? decision : {
        kind: "unroutable",
        fault: describeUnroutable(UNROUTABLE[decision.reason]),
      },
    );
  }

  #laneOf(target: Pick<RoutedRequest, "model" | "service">): Lane {
    const key = `${target.service}/${target.model}`;
    let lane = this.#lanes.get(key);
    if (lane === undefined) {
      const admission = new AdmissionController({
        ...ADMISSION_DEFAULTS,
        maxQueued: this.#context.entry.max_queued,
      });
      lane = { target, admission, waiting: new Map() };
      admission.setLimits(this.#limits);
      this.#lanes.set(key, lane);
      this.#refreshLane(lane);
    }
    return lane;
  }

  #setLimits(limits: Readonly<Record<string, Limit>>): void {
    this.#limits = limits;
    for (const lane of this.#lanes.values()) {
      lane.admission.setLimits(limits);
    }
  }

  #refreshCapacity(): void {
    for (const lane of this.#lanes.values()) {
      this.#refreshLane(lane);
      this.#startNext(lane);
    }
  }

  #refreshLane(lane: Lane): void {
    const capacity = entryCapacity({
      slots: this.#router.slotsFor(lane.target),
      freeSlots: this.#router.freeSlotsFor(lane.target),
      running: lane.admission.running,
      entries: this.#entries,
    });
    const { max_running } = this.#context.entry;
    lane.admission.setCapacity(Math.min(capacity, max_running));
  }
}

function describeLapse(): Fault {
  return createFault(
    "lease_lapsed",
    "This entry can't confirm its configuration. Remedy: use another entry; " +
      "operators check that most control replicas run.",
    { retryAfter: RETRY_AFTER },
  );
}

function describeUnroutable(message: string): Fault {
  return createFault("no_upstream", `${message}.`, { retryAfter: RETRY_AFTER });
}
