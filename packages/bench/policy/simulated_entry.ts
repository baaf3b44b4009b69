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

/** What a simulated entry is built from. */
type EntryOptions = {
  readonly name: string;
  readonly policy: Policy;
  readonly time: VirtualTime;
  readonly outcomes: Outcomes;
  readonly findVm: (name: string) => SimulatedVm | undefined;
  /** Reports all entries what a VM has cached. */
  readonly onCached: (vm: SimulatedVm, blocks: string[]) => void;
  /** Entries that share the VMs. */
  readonly entries: number;
};

/** One request at its entry. */
type RunningRequest = {
  readonly request: SimulatedRequest;
  readonly owned: OwnedRequest;
  readonly routed: RoutedRequest;
  firstAt: number;
  lastAt: number;
  token: string;
  upstream: string;
  /** Pieces of the present attempt. */
  place: number;
  /** When the first of them came. */
  attemptFirstAt: number;
  estimated: number;
  dispatchedAt: number;
};

const VIEW = {
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
const POOL = { model: "assistant", service: "" };
const DEADLINE = 30_000;
const IDLE_TIMEOUT = 5000;
const RETRY_PAUSE = 100;
const MOST_ATTEMPTS = 40;
const RECLAIM_RATES = {
  decodeInterval: 37,
  transferRate: 20_000,
  prefillRate: 4000,
  reserve: 300,
};

/** An entry in virtual time: the product's own parts, joined. */
export class SimulatedEntry {
  readonly #options: EntryOptions;
  readonly #router: Router;
  readonly #admission = new AdmissionController(ADMISSION_DEFAULTS);
  readonly #budget = new RetryBudget(0.2);
  readonly #queued = new Map<string, SimulatedRequest>();
  readonly #running = new Map<string, RunningRequest>();

  constructor(options: EntryOptions) {
    this.#options = options;
    this.#router = new Router(ROUTING_DEFAULTS, {
      entry: options.name,
      hash: (text) =>
        createHash("sha1").update(text).digest().readUInt32BE(0) / 2 ** 32,
      choose: options.policy.choose(),
    });
    this.#router.configure(VIEW);
    this.#router.setEntryCount(options.entries);
  }

  get unfinished(): number {
    return this.#running.size + this.#queued.size;
  }

  get waiting(): number {
    return this.#queued.size;
  }

  receive(announcement: Announcement): void {
    const { time } = this.#options;
    this.#router.updateUpstream(announcement, time.now);
    this.#refreshCapacity();
    if (announcement.state === "leaving") {
      for (const running of [...this.#running.values()]) {
        this.#drive(running, {
          kind: "upstream_leaving",
          upstream: announcement.name,
          reclaimIn: announcement.reclaimIn ?? 0,
        });
      }
    }
  }

  lapse(name: string): void {
    this.#router.removeUpstream(name);
    this.#refreshCapacity();
  }

  hearCache(name: string, sequence: number, blocks: string[]): void {
    this.#router.applyCacheEvent(name, { sequence, kind: "stored", blocks });
  }

  /** The VM is gone; its streams break. */
  breakStreams(name: string): void {
    for (const running of [...this.#running.values()]) {
      if (running.upstream === name) {
        const attempt = running.owned.attempts;
        this.#drive(running, {
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
      deadlineAt: time.now + DEADLINE,
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
        this.#drive(running, { kind: "tick" });
      }
    }
  }

  #refreshCapacity(): void {
    this.#admission.setCapacity(entryCapacity({
      slots: this.#router.slotsFor(POOL),
      freeSlots: this.#router.freeSlotsFor(POOL),
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
      deadline: DEADLINE + 60_000,
      promptTokens: request.words,
      epoch: 1,
      owner: name,
      standby: "",
    }, {
      settings: {
        self: name,
        copyTimeout: 400,
        handOverTimeout: 2000,
        idleTimeout: IDLE_TIMEOUT,
        retryDelay: RETRY_PAUSE,
        maxAttempts: MOST_ATTEMPTS,
        chooseReclaimAction: policy.restarts
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
        prefix: hashPrefixBlocks(request.prompt, chain),
        promptTokens: request.words,
        exclude: [],
      },
      firstAt: 0,
      lastAt: 0,
      token: "",
      upstream: "",
      place: 0,
      attemptFirstAt: 0,
      estimated: 0,
      dispatchedAt: 0,
    };
    this.#running.set(request.id, running);
    this.#drive(running, { kind: "start" });
  }

  #drive(running: RunningRequest, event: RequestEvent): void {
    const { time } = this.#options;
    for (const effect of running.owned.handle(event, time.now)) {
      this.#carryOut(running, effect);
    }
  }

  #carryOut(running: RunningRequest, effect: RequestEffect): void {
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
        this.#notePieces(running, effect.pieces.length);
        return;
      case "finished":
        this.#endAttempt(running, "succeeded");
        this.#finish(running);
        return;
      case "failed":
        this.#endAttempt(running, "neutral");
        this.#options.outcomes.failed += 1;
        this.#forget(running);
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
      this.#budget.recordFirstAttempt();
    }
    const token = `${running.request.id}#${effect.attempt}`;
    const request = { ...running.routed, exclude: effect.exclude };
    const decision = this.#router.route(request, { token, now: time.now });
    if (decision.kind === "unroutable") {
      this.#drive(running, { kind: "unroutable", attempt: effect.attempt });
      return;
    }
    running.token = token;
    running.upstream = decision.choice.upstream;
    running.estimated = decision.choice.estimatedFirstToken;
    running.dispatchedAt = time.now;
    this.#drive(running, {
      kind: "routed",
      attempt: effect.attempt,
      upstream: decision.choice.upstream,
    });
  }

  #dispatch(
    running: RunningRequest,
    effect: Extract<RequestEffect, { kind: "dispatch" }>,
  ): void {
    const { policy, outcomes, findVm, onCached } = this.#options;
    const { attempt } = effect;
    const vm = findVm(effect.upstream);
    if (vm === undefined || !vm.isUp) {
      const message = "connection refused";
      this.#drive(running, { kind: "attempt_failed", attempt, message });
      return;
    }
    const { request, token } = running;
    const held = effect.pieces.length;
    const emitted = effect.pieces.map((piece) => piece.text).join("");
    // From scratch, the pieces that exist are generated once more and dropped.
    let skip = policy.restarts ? held : 0;
    outcomes.recomputed += policy.restarts ? held : 0;
    running.place = 0;
    onCached(vm, [...running.routed.prefix]);
    vm.engine.submit({
      id: token,
      prompt: request.prompt,
      text: policy.restarts ? request.prompt : request.prompt + emitted,
      emitted: policy.restarts ? "" : emitted,
      maxTokens: request.tokens - held + skip,
      priority: 0,
      kvTransfer: findVm(effect.kvSource)?.isUp ?? false,
      onStart: (computed) => {
        outcomes.computed += computed;
        outcomes.recomputed += attempt > 1 ? computed : 0;
      },
      onToken: (text) => {
        if (skip > 0) {
          skip -= 1;
          return;
        }
        const place = running.place;
        running.place += 1;
        if (place === 0) {
          running.attemptFirstAt = this.#options.time.now;
        }
        if (place > 0 && isTokenIntervalSample(place)) {
          const taken = this.#options.time.now - running.attemptFirstAt;
          this.#router.recordTokenInterval(running.upstream, taken / place);
        }
        const piece = { text, tokens: 1 };
        this.#drive(running, {
          kind: "piece",
          attempt,
          position: place,
          piece,
        });
      },
      onEnd: ({ reason }) =>
        this.#drive(running, {
          kind: "attempt_finished",
          attempt,
          pieces: running.place,
          reason,
        }),
    });
  }

  #notePieces(running: RunningRequest, count: number): void {
    const { time, outcomes } = this.#options;
    for (let n = 0; n < count; n += 1) {
      if (running.firstAt === 0) {
        running.firstAt = time.now;
        this.#router.recordFirstToken(running.upstream, {
          measured: time.now - running.dispatchedAt,
          estimated: running.estimated,
        });
      } else {
        outcomes.piece(time.now - running.lastAt);
      }
      running.lastAt = time.now;
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
    const gaps = Math.max(1, owned.emittedCount - 1);
    const firstAt = running.firstAt || this.#options.time.now;
    outcomes.answer(request.workspace, {
      firstToken: firstAt - request.at,
      meanGap: (running.lastAt - firstAt) / gaps,
    });
    this.#forget(running);
  }

  #forget(running: RunningRequest): void {
    const { id } = running.request;
    this.#running.delete(id);
    this.#admission.release(id, this.#options.time.now);
    this.#startNext();
  }
}

function chain(text: string, seed: string): string {
  return createHash("sha1").update(seed).update(text).digest("base64");
}
