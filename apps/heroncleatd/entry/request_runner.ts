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
import { reportEndless } from "../common/report_endless.ts";
import type { RequestIdentity } from "../common/request_identity.ts";
import type { EntryContext } from "./entry_context.ts";
import { identifyGeneration } from "./identify_generation.ts";
import type { RequestMessage } from "./request_message.ts";
import type { RequestServices } from "./request_services.ts";
import type { RunningAttempt } from "./running_attempt.ts";
import { UpstreamStream } from "./upstream_stream.ts";

type RunnerOptions = {
  readonly request: OwnedRequest;
  readonly context: EntryContext;
  readonly services: RequestServices;
  readonly sendSelf: (message: RequestMessage) => void;
};

type EffectOf<Kind extends RequestEffect["kind"]> = Extract<
  RequestEffect,
  { kind: Kind }
>;

const MIN_DELAY_MS = 1;
const HTTP_OK = 200;

/**
 * Runs one owned request: drives its state machine, its connection to an
 * upstream and the readers that wait for its response.
 */
export class RequestRunner {
  readonly #options: RunnerOptions;
  #attempt: RunningAttempt | undefined;
  #readers: Extract<RequestMessage, { kind: "read" }>[] = [];
  #timer: NodeJS.Timeout | undefined;
  #timerAt: Milliseconds = Infinity;
  readonly #identity: RequestIdentity;
  /** Stops tracking the current run of a suspected request. */
  #endTrackedRun = () => {};

  constructor(options: RunnerOptions) {
    this.#options = options;
    this.#identity = identifyGeneration(options.request.record);
  }

  handle(message: RequestMessage): void {
    if (message.kind === "read") {
      this.#read(message);
      return;
    }
    this.#handleEvent(message.event);
  }

  #handleEvent(event: RequestEvent): void {
    const { request, context } = this.#options;
    for (const effect of request.handle(event, context.clock.now())) {
      this.#runEffect(effect);
    }
    this.#scheduleTick();
  }

  #runEffect(effect: RequestEffect): void {
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
        this.#replyToReaders();
        return;
      case "choose_standby": {
        const standby = services.chooseStandby(effect.exclude);
        this.#sendEvent({ kind: "standby_chosen", standby });
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
    this.#options.services.sendCopy(effect.to, effect.message).then(
      (reply) => this.#sendEvent({ kind: "copy_answered", number, reply }),
      () => this.#sendEvent({ kind: "copy_failed", number }),
    );
  }

  async #route(effect: EffectOf<"route">): Promise<void> {
    const { request, services, context } = this.#options;
    const { attempt, exclude } = effect;
    const token = `${request.record.id}#${attempt}`;
    const isRetry = exclude.length > 0;
    this.#closeAttempt("failed");
    await context.crashes.waitForProbe(this.#identity);
    const status = context.crashes.status(this.#identity);
    if (status === SuspectStatus.rejected) {
      this.#sendEvent({ kind: "rejected" });
      return;
    }
    const result = await services.route(request.record, {
      token,
      exclude,
      isRetry,
      isContinued: request.receivedCount > 0,
    });
    if (result.kind === "unroutable") {
      this.#sendEvent({ kind: "unroutable", attempt });
      return;
    }
    const { upstream } = result.choice;
    this.#attempt = {
      number: attempt,
      token,
      ...result.choice,
      sentAt: 0,
      firstTokenAt: 0,
      stream: undefined,
    };
    this.#sendEvent({ kind: "routed", attempt, upstream });
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
      this.#sendEvent({
        kind: "attempt_finished",
        attempt: effect.attempt,
        pieces: 0,
        reason: "length",
      });
      return;
    }
    // Checked right before sending: a process that was suspended since routing
    // must not act on an outdated configuration.
    if (!context.lease.isValid) {
      this.#closeAttempt("neutral");
      this.#sendEvent({ kind: "unroutable", attempt: effect.attempt });
      return;
    }
    this.#open(attempt, body);
  }

  #open(attempt: RunningAttempt, body: Record<string, unknown>): void {
    const { context, request } = this.#options;
    const { number, address } = attempt;
    const upstream = context.instanceIdOf(attempt.upstream);
    const maxTokens = body["max_tokens"];
    const sentAt = context.clock.steady();
    attempt.sentAt = context.clock.now();
    this.#endTrackedRun = context.crashes.trackCopy(this.#identity);
    const endTrial = context.statements.trackTrial(upstream);
    attempt.stream = new UpstreamStream({
      agent: context.upstreams,
      address: attempt.address,
      path: request.record.kind === "chat"
        ? "/v1/chat/completions"
        : "/v1/completions",
      body,
      attempt: attempt.token,
      connectTimeout: context.entry.connect_timeout,
      maxTokens: typeof maxTokens === "number" ? maxTokens : undefined,
      heldBytes: context.bodies.held,
      clock: context.clock,
      maySend: () =>
        context.clock.now() < attempt.sendBefore &&
        !context.statements.isResting(upstream, context.clock.steady()),
      handlers: {
        onHead: ({ statusCode, headersDistinct }) => {
          endTrial();
          context.statementWatcher.recordResponse(upstream, {
            status: statusCode!,
            headers: headersDistinct,
            isNotRun: statusCode !== HTTP_OK,
            sentAt,
            request: attempt.token,
          });
        },
        onChunk: (index, text) => {
          this.#recordLatency(attempt, index);
          const chunk = { text, tokens: 1 };
          this.#sendEvent({
            kind: "piece",
            attempt: number,
            position: index,
            piece: chunk,
          });
        },
        onEndless: (exceeded) =>
          reportEndless(exceeded, {
            metrics: context.metrics,
            log: context.log("requests"),
            request: attempt.token,
            upstream: attempt.upstream,
          }),
        onFinished: (chunkCount, reason) => {
          context.crashes.recordSuccess(this.#identity);
          this.#sendEvent({
            kind: "attempt_finished",
            attempt: number,
            pieces: chunkCount,
            reason,
          });
        },
        onFailed: ({ message, isBroken }) => {
          endTrial();
          if (isBroken && !context.isDepartingUpstream(attempt.upstream)) {
            const broken = { upstream, address, sentAt };
            context.crashes.recordBrokenConnection(this.#identity, broken);
          }
          this.#sendEvent({ kind: "attempt_failed", attempt: number, message });
        },
      },
    });
  }

  /** Reports the time to first token or the token interval to the router. */
  #recordLatency(attempt: RunningAttempt, index: number): void {
    const { context, services } = this.#options;
    const now = context.clock.now();
    if (index === 0) {
      attempt.firstTokenAt = now;
      services.recordFirstToken(attempt.upstream, {
        measured: now - attempt.sentAt,
        estimated: attempt.estimatedFirstToken,
      });
      return;
    }
    if (isTokenIntervalSample(index)) {
      const interval = (now - attempt.firstTokenAt) / index;
      services.recordTokenInterval(attempt.upstream, interval);
    }
  }

  /** Closes the current attempt and reports its outcome to the router. */
  #closeAttempt(outcome: "succeeded" | "failed" | "neutral"): void {
    const attempt = this.#attempt;
    if (attempt === undefined) {
      return;
    }
    this.#attempt = undefined;
    this.#endTrackedRun();
    this.#endTrackedRun = () => {};
    attempt.stream?.cancel();
    this.#options.services.recordAttempt(attempt.upstream, {
      token: attempt.token,
      outcome,
    });
  }

  async #moveStandby(effect: EffectOf<"move_standby">): Promise<void> {
    const { request, services } = this.#options;
    const reply = await services.moveStandby(request.record, effect);
    const outcome = reply?.outcomes[0];
    if (outcome === undefined) {
      this.#sendEvent({ kind: "standby_kept" });
      return;
    }
    const { epoch, standby, owner } = outcome;
    this.#sendEvent(
      outcome.moved
        ? { kind: "standby_moved", epoch, standby }
        : { kind: "custody_lost", owner },
    );
  }

  async #handOver(standby: string): Promise<void> {
    const { request, services } = this.#options;
    const owner = await services.handOver(standby, request.record.id);
    this.#sendEvent(
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
    this.#replyToReaders();
  }

  #read(message: Extract<RequestMessage, { kind: "read" }>): void {
    if (this.#hasUpdates(message.from)) {
      message.reply(this.#createReply(message.from));
      return;
    }
    this.#readers.push(message);
    setTimeout(() => this.#timeOutReader(message), message.wait).unref();
  }

  #hasUpdates(from: number): boolean {
    const { request } = this.#options;
    return request.emittedCount > from || request.phase === RequestPhase.ended;
  }

  #createReply(from: number): ForwardedAnswer {
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

  #replyToReaders(): void {
    const readers = this.#readers;
    this.#readers = [];
    for (const reader of readers) {
      this.#read(reader);
    }
  }

  #timeOutReader(message: Extract<RequestMessage, { kind: "read" }>): void {
    const index = this.#readers.indexOf(message);
    if (index !== -1) {
      this.#readers.splice(index, 1);
      message.reply(this.#createReply(message.from));
    }
  }

  #sendEvent(event: RequestEvent): void {
    this.#options.sendSelf({ kind: "event", event });
  }

  /** Schedules a tick for the state machine's next deadline. */
  #scheduleTick(): void {
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
    const delay = Math.max(MIN_DELAY_MS, wakeAt - context.clock.now());
    this.#timer = setTimeout(() => {
      this.#timerAt = Infinity;
      this.#sendEvent({ kind: "tick" });
    }, delay);
  }
}
