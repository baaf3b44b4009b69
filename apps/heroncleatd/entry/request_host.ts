import type { Milliseconds } from "@heroncleat/base";
import { unreachable } from "@heroncleat/base";
import type {
  OwnedRequest,
  RequestEffect,
  RequestEvent,
} from "@heroncleat/requests";
import { isTokenIntervalSample, RequestPhase } from "@heroncleat/requests";
import type { ForwardedAnswer } from "@heroncleat/schema";
import { SuspectStatus } from "@heroncleat/serving";
import { buildUpstreamBody } from "./build_upstream_body.ts";
import type { RequestIdentity } from "../common/request_identity.ts";
import type { EntryContext } from "./entry_context.ts";
import { identifyGeneration } from "./identify_generation.ts";
import type { RequestMessage } from "./request_message.ts";
import type { RequestServices } from "./request_services.ts";
import type { RunningAttempt } from "./running_attempt.ts";
import { UpstreamStream } from "./upstream_stream.ts";

/** What a request host is built from. */
type HostOptions = {
  readonly request: OwnedRequest;
  readonly context: EntryContext;
  readonly services: RequestServices;
  readonly sendSelf: (message: RequestMessage) => void;
};

type EffectOf<Kind extends RequestEffect["kind"]> = Extract<
  RequestEffect,
  { kind: Kind }
>;

const LEAST_SLEEP = 1;

/**
 * Owns one accepted request: its state machine, its connection to an upstream
 * and those who wait for its answer.
 */
export class RequestHost {
  readonly #options: HostOptions;
  #attempt: RunningAttempt | undefined;
  #readers: Extract<RequestMessage, { kind: "read" }>[] = [];
  #timer: NodeJS.Timeout | undefined;
  #timerAt: Milliseconds = Infinity;
  readonly #identity: RequestIdentity;
  /** Notes that the attempt under way has ended. */
  #endTurn = () => {};

  constructor(options: HostOptions) {
    this.#options = options;
    this.#identity = identifyGeneration(options.request.record);
  }

  handle(message: RequestMessage): void {
    if (message.kind === "read") {
      this.#read(message);
      return;
    }
    this.#drive(message.event);
  }

  #drive(event: RequestEvent): void {
    const { request, context } = this.#options;
    for (const effect of request.handle(event, context.clock.now())) {
      this.#carryOut(effect);
    }
    this.#schedule();
  }

  #carryOut(effect: RequestEffect): void {
    const { request, services } = this.#options;
    switch (effect.kind) {
      case "copy":
        this.#copy(effect);
        return;
      case "accepted":
        services.onAccepted(request.record);
        return;
      case "route":
        void this.#route(effect);
        return;
      case "dispatch":
        this.#dispatch(effect);
        return;
      case "cancel":
        this.#closeAttempt("neutral");
        return;
      case "emit":
        this.#answerReaders();
        return;
      case "choose_standby": {
        const standby = services.chooseStandby(effect.exclude);
        this.#notify({ kind: "standby_chosen", standby });
        return;
      }
      case "move_standby":
        void this.#moveStandby(effect);
        return;
      case "hand_over":
        void this.#handOver(effect.standby);
        return;
      case "finished":
      case "refused":
      case "failed":
      case "handed_over":
      case "fenced":
        this.#end(effect);
        return;
      default:
        unreachable(effect);
    }
  }

  #copy(effect: EffectOf<"copy">): void {
    const { number } = effect;
    this.#options.services.copy(effect.to, effect.message).then(
      (reply) => this.#notify({ kind: "copy_answered", number, reply }),
      () => this.#notify({ kind: "copy_failed", number }),
    );
  }

  async #route(effect: EffectOf<"route">): Promise<void> {
    const { request, services, context } = this.#options;
    const { attempt, exclude } = effect;
    const token = `${request.record.id}#${attempt}`;
    const isRetry = exclude.length > 0;
    this.#closeAttempt("failed");
    await context.crashes.waitForProbe(this.#identity);
    const standing = context.crashes.status(this.#identity);
    if (standing === SuspectStatus.rejected) {
      this.#notify({ kind: "rejected" });
      return;
    }
    const answer = await services.route(request.record, {
      token,
      exclude,
      isRetry,
    });
    if (answer.kind === "unroutable") {
      this.#notify({ kind: "unroutable", attempt });
      return;
    }
    const { upstream } = answer.choice;
    this.#attempt = {
      number: attempt,
      token,
      ...answer.choice,
      sentAt: 0,
      firstTokenAt: 0,
      stream: undefined,
    };
    this.#notify({ kind: "routed", attempt, upstream });
  }

  #dispatch(effect: EffectOf<"dispatch">): void {
    const attempt = this.#attempt;
    if (attempt === undefined || attempt.number !== effect.attempt) {
      return;
    }
    const { context, request } = this.#options;
    const body = buildUpstreamBody(request.record, effect);
    if (body["max_tokens"] === 0) {
      this.#closeAttempt("neutral");
      this.#notify({
        kind: "attempt_finished",
        attempt: effect.attempt,
        pieces: 0,
        reason: "length",
      });
      return;
    }
    // The last step before bytes leave: a process that was frozen since the
    // route was chosen must not act on an old configuration.
    if (!context.lease.isValid) {
      this.#closeAttempt("neutral");
      this.#notify({ kind: "unroutable", attempt: effect.attempt });
      return;
    }
    this.#open(attempt, body);
  }

  #open(attempt: RunningAttempt, body: Record<string, unknown>): void {
    const { context, request } = this.#options;
    const { number, address } = attempt;
    const upstream = context.startOf(attempt.upstream);
    const sentAt = context.clock.steady();
    attempt.sentAt = context.clock.now();
    this.#endTurn = context.crashes.trackCopy(this.#identity);
    attempt.stream = new UpstreamStream({
      agent: context.upstreams,
      address: attempt.address,
      path: request.record.kind === "chat"
        ? "/v1/chat/completions"
        : "/v1/completions",
      body,
      attempt: attempt.token,
      handlers: {
        onPiece: (place, text) => {
          this.#notePace(attempt, place);
          const piece = { text, tokens: 1 };
          this.#notify({
            kind: "piece",
            attempt: number,
            position: place,
            piece,
          });
        },
        onFinished: (pieces, reason) => {
          context.crashes.recordCompletion(this.#identity);
          this.#notify({
            kind: "attempt_finished",
            attempt: number,
            pieces,
            reason,
          });
        },
        onFailed: ({ message, isBroken }) => {
          if (isBroken && !context.isLeavingUpstream(attempt.upstream)) {
            const broken = { upstream, address, sentAt };
            context.crashes.recordBrokenConnection(this.#identity, broken);
          }
          this.#notify({ kind: "attempt_failed", attempt: number, message });
        },
      },
    });
  }

  /** Reports the router how fast the upstream answers. */
  #notePace(attempt: RunningAttempt, place: number): void {
    const { context, services } = this.#options;
    const now = context.clock.now();
    if (place === 0) {
      attempt.firstTokenAt = now;
      services.firstToken(attempt.upstream, {
        measured: now - attempt.sentAt,
        estimated: attempt.estimatedFirstToken,
      });
      return;
    }
    if (isTokenIntervalSample(place)) {
      const pace = (now - attempt.firstTokenAt) / place;
      services.betweenTokens(attempt.upstream, pace);
    }
  }

  /** Ends the present attempt and reports the router how it went. */
  #closeAttempt(outcome: "succeeded" | "failed" | "neutral"): void {
    const attempt = this.#attempt;
    if (attempt === undefined) {
      return;
    }
    this.#attempt = undefined;
    this.#endTurn();
    this.#endTurn = () => {};
    attempt.stream?.cancel();
    this.#options.services.attemptEnded(attempt.upstream, {
      token: attempt.token,
      outcome,
    });
  }

  async #moveStandby(effect: EffectOf<"move_standby">): Promise<void> {
    const { request, services } = this.#options;
    const reply = await services.moveStandby(request.record, effect);
    const outcome = reply?.outcomes[0];
    if (outcome === undefined) {
      this.#notify({ kind: "standby_kept" });
      return;
    }
    const { epoch, standby, owner } = outcome;
    this.#notify(
      outcome.moved
        ? { kind: "standby_moved", epoch, standby }
        : { kind: "custody_lost", owner },
    );
  }

  async #handOver(standby: string): Promise<void> {
    const { request, services } = this.#options;
    const owner = await services.handOver(standby, request.record.id);
    this.#notify(
      owner === undefined
        ? { kind: "hand_over_failed" }
        : { kind: "custody_lost", owner },
    );
  }

  #end(
    effect: EffectOf<
      "finished" | "refused" | "failed" | "handed_over" | "fenced"
    >,
  ): void {
    const { request, services } = this.#options;
    this.#closeAttempt(effect.kind === "finished" ? "succeeded" : "neutral");
    services.onEnded(request.record, effect);
    this.#answerReaders();
  }

  #read(message: Extract<RequestMessage, { kind: "read" }>): void {
    if (this.#hasUpdates(message.from)) {
      message.reply(this.#buildAnswer(message.from));
      return;
    }
    this.#readers.push(message);
    setTimeout(() => this.#giveUpReader(message), message.wait).unref();
  }

  #hasUpdates(from: number): boolean {
    const { request } = this.#options;
    return request.emittedCount > from || request.phase === RequestPhase.ended;
  }

  #buildAnswer(from: number): ForwardedAnswer {
    const { request } = this.#options;
    return {
      found: request.phase !== RequestPhase.ended || request.isComplete,
      denied: false,
      upstream: request.upstream,
      record: request.record,
      pieces: [...request.emittedFrom(from)],
      finished: request.isComplete,
      finishReason: request.finishReason,
    };
  }

  #answerReaders(): void {
    const readers = this.#readers;
    this.#readers = [];
    for (const reader of readers) {
      this.#read(reader);
    }
  }

  #giveUpReader(message: Extract<RequestMessage, { kind: "read" }>): void {
    const place = this.#readers.indexOf(message);
    if (place !== -1) {
      this.#readers.splice(place, 1);
      message.reply(this.#buildAnswer(message.from));
    }
  }

  #notify(event: RequestEvent): void {
    this.#options.sendSelf({ kind: "event", event });
  }

  /** Wakes the state machine when it next has something to do by time. */
  #schedule(): void {
    const { request, context } = this.#options;
    const wakeAt = request.wakeAt;
    if (wakeAt === Infinity) {
      clearTimeout(this.#timer);
      this.#timerAt = Infinity;
      return;
    }
    if (wakeAt >= this.#timerAt) {
      return;
    }
    clearTimeout(this.#timer);
    this.#timerAt = wakeAt;
    const delay = Math.max(LEAST_SLEEP, wakeAt - context.clock.now());
    this.#timer = setTimeout(() => {
      this.#timerAt = Infinity;
      this.#notify({ kind: "tick" });
    }, delay);
  }
}
