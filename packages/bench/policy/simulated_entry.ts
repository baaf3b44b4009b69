import { createHash } from "node:crypto";
import {
  ADMISSION_DEFAULTS,
  AdmissionController,
  entryCapacity,
  RetryBudget,
} from "@heroncleat/admission";
import {
  createReclaimPolicy,
  isTokenIntervalSample,
  OwnedRequest,
  ReclaimAction,
  type RequestEffect,
  type RequestEvent,
} from "@heroncleat/requests";
import {
  hashPrefixBlocks,
  type RoutedRequest,
  Router,
  ROUTING_DEFAULTS,
} from "@heroncleat/routing";
import type { Announcement } from "@heroncleat/schema";
import type { VirtualTime } from "../virtual_time.ts";
import type { Outcomes } from "./outcomes.ts";
import type { Policy } from "./policy.ts";
import type { SimulatedRequest } from "./simulated_request.ts";
import type { SimulatedVm } from "./simulated_vm.ts";

type SimulatedEntryOptions = {
  readonly name: string;
  readonly policy: Policy;
  readonly time: VirtualTime;
  readonly outcomes: Outcomes;
  readonly findVm: (name: string) => SimulatedVm | undefined;
  /** Called with the prefix blocks that a VM caches. */
  readonly onBlocksCached: (vm: SimulatedVm, blocks: string[]) => void;
  /** Number of entries that share the VMs. */
  readonly entries: number;
};

/** A request that this entry owns, with the state of its current attempt. */
type RunningRequest = {
  readonly request: SimulatedRequest;
  readonly owned: OwnedRequest;
  readonly routed: RoutedRequest;
  firstTokenAt: number;
  lastTokenAt: number;
  token: string;
  upstream: string;
  /** Chunks received in the current attempt. */
  chunkCount: number;
  /** Arrival time of the first of these chunks. */
  attemptFirstTokenAt: number;
  estimatedFirstToken: number;
  dispatchedAt: number;
};

const CONFIGURATION = {
  revision: 1,
  groups: {
    all: { name: "all", labels: {}, state: "serving" as const, share: 100 },
  },
  selectors: {
    all: { name: "all", order: 1, match: {}, groups: ["all"] },
  },
  limits: {},
  labels: {},
};
const MODEL_POOL = { model: "assistant", service: "" };
const DEADLINE_MS = 30_000;
const IDLE_TIMEOUT_MS = 5000;
const RETRY_DELAY_MS = 100;
const MAX_ATTEMPTS = 40;
const RECLAIM_RATES = {
  decodeInterval: 37,
  transferRate: 20_000,
  prefillRate: 4000,
  reserve: 300,
};

/**
 * An entry in virtual time that runs the product's admission, routing and
 * request state machines.
 */
export class SimulatedEntry {
  readonly #options: SimulatedEntryOptions;
  readonly #router: Router;
  readonly #admission = new AdmissionController(ADMISSION_DEFAULTS);
  readonly #retryBudget = new RetryBudget(0.2);
  readonly #queued = new Map<string, SimulatedRequest>();
  readonly #running = new Map<string, RunningRequest>();

  constructor(options: SimulatedEntryOptions) {
    this.#options = options;
    this.#router = new Router(ROUTING_DEFAULTS, {
      entry: options.name,
      hash: (text) =>
        createHash("sha1").update(text).digest().readUInt32BE(0) / 2 ** 32,
      choose: options.policy.createLoadBalancingPolicy(),
    });
    this.#router.configure(CONFIGURATION);
    this.#router.setEntryCount(options.entries);
  }

  get unfinishedCount(): number {
    return this.#running.size + this.#queued.size;
  }

  get waiting(): number {
    return this.#queued.size;
  }

  handleAnnouncement(announcement: Announcement): void {
    const { time } = this.#options;
    this.#router.updateUpstream(announcement, time.now);
    this.#refreshCapacity();
    if (announcement.state === "leaving") {
      for (const running of [...this.#running.values()]) {
        this.#handleEvent(running, {
          kind: "upstream_leaving",
          upstream: announcement.name,
          reclaimIn: announcement.reclaimIn ?? 0,
        });
      }
    }
  }

  removeUpstream(name: string): void {
    this.#router.removeUpstream(name);
    this.#refreshCapacity();
  }

  applyCacheEvent(name: string, sequence: number, blocks: string[]): void {
    this.#router.applyCacheEvent(name, { sequence, kind: "stored", blocks });
  }

  /** Fails the running attempts at a VM that was terminated. */
  failAttempts(name: string): void {
    for (const running of [...this.#running.values()]) {
      if (running.upstream === name) {
        const attempt = running.owned.attempts;
        this.#handleEvent(running, {
          kind: "attempt_failed",
          attempt,
          message: "the VM is gone",
        });
      }
    }
  }

  offer(request: SimulatedRequest): void {
    const { time, outcomes } = this.#options;
    outcomes.offered += 1;
    const decision = this.#admission.offer({
      token: request.id,
      workspace: `workspace-${request.workspace}`,
      priority: request.priority,
      deadlineAt: time.now + DEADLINE_MS,
    }, time.now);
    if (decision.kind === "refused") {
      outcomes.refused += 1;
    } else if (decision.kind === "queued") {
      this.#queued.set(request.id, request);
    } else {
      this.#start(request);
    }
  }

  tick(): void {
    const { time, outcomes } = this.#options;
    for (const { token } of this.#admission.expire(time.now)) {
      this.#queued.delete(token);
      outcomes.refused += 1;
    }
    this.#startNext();
    for (const running of [...this.#running.values()]) {
      if (running.owned.wakeAt <= time.now) {
        this.#handleEvent(running, { kind: "tick" });
      }
    }
  }

  #refreshCapacity(): void {
    this.#admission.setCapacity(entryCapacity({
      slots: this.#router.slotsFor(MODEL_POOL),
      freeSlots: this.#router.freeSlotsFor(MODEL_POOL),
      running: this.#admission.running,
      entries: this.#options.entries,
    }));
    this.#startNext();
  }

  #startNext(): void {
    for (const { token } of this.#admission.startNext(this.#options.time.now)) {
      const request = this.#queued.get(token)!;
      this.#queued.delete(token);
      this.#start(request);
    }
  }

  #start(request: SimulatedRequest): void {
    const { time, policy, name } = this.#options;
    const body = JSON.stringify({
      max_tokens: request.tokens,
      messages: [{ role: "user", content: "" }],
    });
    const owned = new OwnedRequest({
      id: request.id,
      workspace: `workspace-${request.workspace}`,
      kind: "chat",
      stream: true,
      model: "assistant",
      body,
      priority: request.priority,
      deadline: DEADLINE_MS + 60_000,
      promptTokens: request.promptWords,
      epoch: 1,
      owner: name,
      standby: "",
    }, {
      settings: {
        self: name,
        copyTimeout: 400,
        handOverTimeout: 2000,
        idleTimeout: IDLE_TIMEOUT_MS,
        retryDelay: RETRY_DELAY_MS,
        maxAttempts: MAX_ATTEMPTS,
        chooseReclaimAction: policy.restartsFromScratch
          ? () => ReclaimAction.resume
          : createReclaimPolicy(RECLAIM_RATES),
      },
      start: {
        pieces: [],
        finished: false,
        finishReason: "",
        accepted: false,
        now: time.now,
      },
    });
    const running: RunningRequest = {
      request,
      owned,
      routed: {
        id: request.id,
        workspace: `workspace-${request.workspace}`,
        model: "assistant",
        service: "",
        method: "POST",
        path: "",
        prefix: hashPrefixBlocks(request.prompt, hashBlock),
        promptTokens: request.promptWords,
        isContinued: false,
        exclude: [],
      },
      firstTokenAt: 0,
      lastTokenAt: 0,
      token: "",
      upstream: "",
      chunkCount: 0,
      attemptFirstTokenAt: 0,
      estimatedFirstToken: 0,
      dispatchedAt: 0,
    };
    this.#running.set(request.id, running);
    this.#handleEvent(running, { kind: "start" });
  }

  #handleEvent(running: RunningRequest, event: RequestEvent): void {
    const { time } = this.#options;
    for (const effect of running.owned.handle(event, time.now)) {
      this.#applyEffect(running, effect);
    }
  }

  #applyEffect(running: RunningRequest, effect: RequestEffect): void {
    switch (effect.kind) {
      case "route":
        this.#route(running, effect);
        return;
      case "dispatch":
        this.#dispatch(running, effect);
        return;
      case "cancel":
        this.#endAttempt(running, "neutral");
        return;
      case "emit":
        this.#recordEmittedTokens(running, effect.pieces.length);
        return;
      case "finished":
        this.#endAttempt(running, "succeeded");
        this.#finish(running);
        return;
      case "failed":
        this.#endAttempt(running, "neutral");
        this.#options.outcomes.failed += 1;
        this.#release(running);
        return;
      default:
        return;
    }
  }

  #route(
    running: RunningRequest,
    effect: Extract<RequestEffect, { kind: "route" }>,
  ): void {
    const { time } = this.#options;
    this.#endAttempt(running, "failed");
    const isRetry = effect.exclude.length > 0;
    if (!isRetry) {
      this.#retryBudget.recordFirstAttempt();
    }
    const token = `${running.request.id}#${effect.attempt}`;
    const request = {
      ...running.routed,
      isContinued: running.owned.receivedCount > 0,
      exclude: effect.exclude,
    };
    const decision = this.#router.route(request, { token, now: time.now });
    if (decision.kind === "unroutable") {
      this.#handleEvent(running, {
        kind: "unroutable",
        attempt: effect.attempt,
      });
      return;
    }
    running.token = token;
    running.upstream = decision.choice.upstream;
    running.estimatedFirstToken = decision.choice.estimatedFirstToken;
    running.dispatchedAt = time.now;
    this.#handleEvent(running, {
      kind: "routed",
      attempt: effect.attempt,
      upstream: decision.choice.upstream,
    });
  }

  #dispatch(
    running: RunningRequest,
    effect: Extract<RequestEffect, { kind: "dispatch" }>,
  ): void {
    const { policy, outcomes, findVm, onBlocksCached } = this.#options;
    const { attempt } = effect;
    const vm = findVm(effect.upstream);
    if (vm === undefined || !vm.isUp) {
      const message = "connection refused";
      this.#handleEvent(running, { kind: "attempt_failed", attempt, message });
      return;
    }
    const { request, token } = running;
    const existingCount = effect.pieces.length;
    const emitted = effect.pieces.map((piece) => piece.text).join("");
    // A restart from scratch generates the emitted chunks again and drops them.
    let tokensToSkip = policy.restartsFromScratch ? existingCount : 0;
    outcomes.recomputedTokens += policy.restartsFromScratch ? existingCount : 0;
    running.chunkCount = 0;
    onBlocksCached(vm, [...running.routed.prefix]);
    vm.engine.submit({
      id: token,
      prompt: request.prompt,
      text: policy.restartsFromScratch
        ? request.prompt
        : request.prompt + emitted,
      emitted: policy.restartsFromScratch ? "" : emitted,
      maxTokens: request.tokens - existingCount + tokensToSkip,
      priority: 0,
      kvTransfer: findVm(effect.kvSource)?.isUp ?? false,
      onStart: (computed) => {
        outcomes.prefillTokens += computed;
        outcomes.recomputedTokens += attempt > 1 ? computed : 0;
      },
      onToken: (text) => {
        if (tokensToSkip > 0) {
          tokensToSkip -= 1;
          return;
        }
        const index = running.chunkCount;
        running.chunkCount += 1;
        if (index === 0) {
          running.attemptFirstTokenAt = this.#options.time.now;
        }
        if (index > 0 && isTokenIntervalSample(index)) {
          const elapsed = this.#options.time.now - running.attemptFirstTokenAt;
          this.#router.recordTokenInterval(running.upstream, elapsed / index);
        }
        const piece = { text, tokens: 1 };
        this.#handleEvent(running, {
          kind: "piece",
          attempt,
          position: index,
          piece,
        });
      },
      onEnd: ({ reason }) =>
        this.#handleEvent(running, {
          kind: "attempt_finished",
          attempt,
          pieces: running.chunkCount,
          reason,
        }),
    });
  }

  #recordEmittedTokens(running: RunningRequest, count: number): void {
    const { time, outcomes } = this.#options;
    for (let index = 0; index < count; index += 1) {
      if (running.firstTokenAt === 0) {
        running.firstTokenAt = time.now;
        this.#router.recordFirstToken(running.upstream, {
          measured: time.now - running.dispatchedAt,
          estimated: running.estimatedFirstToken,
        });
      } else {
        outcomes.recordTokenInterval(time.now - running.lastTokenAt);
      }
      running.lastTokenAt = time.now;
    }
  }

  #endAttempt(
    running: RunningRequest,
    outcome: "succeeded" | "failed" | "neutral",
  ): void {
    if (running.token === "") {
      return;
    }
    const { token, upstream } = running;
    running.token = "";
    this.#options.findVm(upstream)?.engine.cancel(token);
    const { now } = this.#options.time;
    this.#router.recordEnd(upstream, { token, outcome, now });
  }

  #finish(running: RunningRequest): void {
    const { outcomes } = this.#options;
    const { request, owned } = running;
    const intervalCount = Math.max(1, owned.emittedCount - 1);
    const firstTokenAt = running.firstTokenAt || this.#options.time.now;
    outcomes.recordResponse(request.workspace, {
      firstToken: firstTokenAt - request.at,
      meanTokenInterval: (running.lastTokenAt - firstTokenAt) / intervalCount,
    });
    this.#release(running);
  }

  #release(running: RunningRequest): void {
    const { id } = running.request;
    this.#running.delete(id);
    this.#admission.release(id, this.#options.time.now);
    this.#startNext();
  }
}

function hashBlock(text: string, seed: string): string {
  return createHash("sha1").update(seed).update(text).digest("base64");
}
