import type { IncomingMessage, ServerResponse } from "node:http";
import { headerValue, type Milliseconds } from "@heroncleat/base";
import { attemptRequest } from "../attempts/attempt_request.ts";
import { AttemptOutcome } from "../attempts/attempt_outcome.ts";
import type { AttemptResult } from "../attempts/attempt_result.ts";
import type { CallerRequest } from "../caller_request.ts";
import { brokenOutcome } from "../attempts/broken_outcome.ts";
import { breakOffResponse } from "../responses/break_off_response.ts";
import { describeLack } from "../upstreams/describe_lack.ts";
import { describeUnsent } from "../attempts/describe_unsent.ts";
import { EndedBy } from "../responses/ended_by.ts";
import { endResponse } from "../responses/end_response.ts";
import { EventSplitter } from "./event_splitter.ts";
import { findEndedBy } from "../responses/find_ended_by.ts";
import type { ForwardContext } from "../forward_context.ts";
import { givenUpReason } from "../given_up_reason.ts";
import { findRestDelay } from "../limits/find_rest_delay.ts";
import { forwardHeaders } from "../forward_headers.ts";
import type { ForwardResult } from "../forward_result.ts";
import type { LocalResponse } from "../responses/local_response.ts";
import { confirmVersion } from "./confirm_version.ts";
import { relayBody } from "../responses/relay_body.ts";
import { relayResponseHeaders } from "../relay/relay_response_headers.ts";
import { isEventStream } from "./is_event_stream.ts";
import { limitEvents } from "./limit_events.ts";
import { mayGoOn } from "../upstreams/may_go_on.ts";
import { mayOfferAgain } from "../upstreams/may_offer_again.ts";
import { readAttemptBody } from "../attempts/read_attempt_body.ts";
import { ResponseFraming } from "../../common/response_framing.ts";
import { errorResponse } from "../responses/error_response.ts";
import { sendRefusal } from "../responses/send_refusal.ts";
import { sendStreamHead } from "./send_stream_head.ts";
import { sendUpstreamResponse } from "../responses/send_upstream_response.ts";
import { StopReason } from "./stop_reason.ts";
import { stopReasonOf } from "./stop_reason_of.ts";
import type { StreamStep } from "./stream_step.ts";
import { unopenedWeight } from "../upstreams/unopened_weight.ts";
import type { UnsentResult } from "../attempts/unsent_result.ts";
import type { WithholdReason } from "../attempts/withhold_reason.ts";

/** Empty ends after which a resumed stream counts as complete. */
const CONFIRMING_ENDS = 2;

/**
 * Forwards a request whose response is an event stream. Only complete events
 * are passed on, so that a resumable stream can continue at another upstream.
 * The caller sees one response, with the head of the first upstream.
 */
export async function forwardStream(
  call: CallerRequest,
  options: { context: ForwardContext; response: ServerResponse },
): Promise<ForwardResult> {
  return await new StreamRun(call, options).run();
}

type AttemptHead = Extract<AttemptResult, { kind: "head" }>;

/** A response that isn't an event stream. */
type CompleteResponse = {
  /** Identifier of the upstream that sent it. */
  readonly upstream: string;
  readonly message: IncomingMessage;
  readonly body: Buffer;
};

class StreamRun {
  readonly #call: CallerRequest;
  readonly #context: ForwardContext;
  readonly #response: ServerResponse;
  /** Identifiers of upstreams that were tried. */
  readonly #excluded: Set<string>;
  readonly #attempts: string[] = [];
  #offers = 0;
  #refusedConnections = 0;
  /** Offers that an upstream rejected without running the request. */
  #rejections = 0;
  #runs = 0;
  #unopened = 0;
  /** Whether an attempt may have reached an upstream. */
  #wasSent = false;
  #mayHaveRun = false;
  /** What ended the last attempt early. */
  #lastEnd: EndedBy | undefined;
  #stoppedBy: StopReason | undefined;
  #isUsageCounted = false;
  /**
   * Set if the request wasn't forwarded although upstreams may be available.
   */
  #withholdReason: WithholdReason | undefined;
  /** The part of the prompt for which the request is rejected, if any. */
  #rejectedPart: string | undefined;
  #status = 0;
  #lastEvent: string | undefined;
  /** Attempts in a row whose responses ended without an event. */
  #emptyEnds = 0;
  /** Version that began the stream; undefined if any may begin it. */
  #version: string | undefined;
  /** Whether events were passed on that an unknown version wrote. */
  #isVersionUnknown = false;
  /** Set if all upstreams that may serve the request rest. */
  #restDelay: Milliseconds | undefined;
  /** Set if all upstreams were overloaded or at their rate limits. */
  #retryAfter: Milliseconds | undefined;
  /** A complete error response, passed on if no later attempt succeeds. */
  #failedResponse: CompleteResponse | undefined;
  /** Resolves once the caller has room for the end of the response. */
  #sent: Promise<void> | undefined;

  constructor(
    call: CallerRequest,
    options: { context: ForwardContext; response: ServerResponse },
  ) {
    this.#call = call;
    this.#excluded = new Set(call.excluded);
    this.#context = options.context;
    this.#response = options.response;
    this.#version = call.version;
  }

  async run(): Promise<ForwardResult> {
    const { signal } = this.#call;
    while (!signal.aborted) {
      const step = await this.#tryOnce();
      this.#stoppedBy = stopReasonOf(step);
      if (step === "done") {
        await this.#sent;
        return this.#toResult("answered");
      }
      if (!this.#mayRetry(step)) {
        break;
      }
    }
    return await this.#finishUnanswered();
  }

  async #finishUnanswered(): Promise<ForwardResult> {
    const { signal } = this.#call;
    const endedBy = findEndedBy(this.#call, {
      response: this.#response,
      lastAttempt: this.#lastEnd,
    });
    if (signal.aborted && signal.reason === "caller_left") {
      return { ...this.#toResult("caller_left"), endedBy };
    }
    if (this.#failedResponse !== undefined && !this.#response.headersSent) {
      this.#sendComplete(this.#failedResponse);
      await this.#sent;
      return this.#toResult("answered");
    }
    if (this.#response.headersSent) {
      await breakOffResponse(this.#response);
      return { ...this.#toResult("failed"), endedBy };
    }
    const localResponse = this.#localResponse();
    this.#status = localResponse.status;
    sendRefusal(this.#response, localResponse, {
      call: this.#call,
      names: this.#context.names,
    });
    return this.#mayHaveRun
      ? { ...this.#toResult("failed"), endedBy }
      : this.#toResult("refused");
  }

  #localResponse(): LocalResponse {
    return errorResponse.create({
      withholdReason: this.#withholdReason,
      rejectedPart: this.#rejectedPart,
      mayHaveRun: this.#mayHaveRun,
      givenUpFor: givenUpReason(this.#call.signal),
      offers: this.#offers,
      wasSent: this.#wasSent,
      isInDoubt: this.#context.reachability.refusesRelays(this.#call.service),
      isResumed: this.#call.version !== undefined,
      retryAfter: this.#retryAfter,
      restDelay: this.#findRestDelay(),
    });
  }

  async #tryOnce(): Promise<StreamStep> {
    const call = this.#call;
    const runs = this.#runs + 1;
    const result = await attemptRequest(call, {
      context: this.#context,
      excluded: this.#excluded,
      lastEvent: this.#lastEvent,
      version: this.#version,
      mayBeRefused: this.#runs === 0,
      mayHaveRun: this.#mayHaveRun,
      isRetry: this.#wasSent,
      isUsageCounted: this.#isUsageCounted,
      unopened: this.#unopened,
      refusedConnections: this.#refusedConnections,
      waitUntil: this.#runs > 0
        ? call.deadline
        : errorResponse.upstreamWaitUntil(call),
      signal: call.signal,
      mayGoOn: () =>
        !this.#isVersionUnknown && mayGoOn(call, {
          context: this.#context,
          excluded: this.#excluded,
          version: this.#version,
          runs,
        }),
      recordRefusal: (refusal) => this.#attempts.push(refusal),
    });
    if (!("upstream" in result)) {
      this.#recordUnsent(result);
      return result.kind;
    }
    this.#excluded.add(result.upstream);
    this.#offers += 1;
    this.#unopened += unopenedWeight(result);
    this.#wasSent ||= unopenedWeight(result) === 0;
    if (result.kind === "not_run") {
      this.#rejections += unopenedWeight(result) === 0 ? 1 : 0;
      this.#refusedConnections += result.unopened === "refused" ? 1 : 0;
      this.#attempts.push(result.trace.describe(`not run, ${result.reason}`));
      return "not_run";
    }
    this.#mayHaveRun = true;
    this.#runs += 1;
    if (result.kind === "unknown") {
      this.#lastEnd = result.trace.endedBy;
      this.#attempts.push(result.trace.describe(`unknown, ${result.reason}`));
      return "broken";
    }
    // The entry that sent the request counts it.
    this.#isUsageCounted ||= result.isRelayed;
    const step = await this.#relayResponse(result);
    const isBroken = step === "broken" || step === "other_version";
    result.finish(outcomeOf(step, result.message));
    if (isBroken && !call.signal.aborted) {
      // Without an error, the response ended inside an event or without a mark.
      result.trace.recordEndedBy(EndedBy.upstream);
    }
    this.#lastEnd = isBroken ? result.trace.endedBy : this.#lastEnd;
    const { statusCode } = result.message;
    this.#attempts.push(result.trace.describe(`${statusCode} ${step}`));
    return step;
  }

  #recordUnsent(result: UnsentResult): void {
    const { kind } = result;
    this.#attempts.push(describeUnsent(result, () =>
      describeLack(this.#call, {
        context: this.#context,
        version: this.#version,
      })));
    if (kind === "no_upstream" || kind === "resting") {
      this.#restDelay = result.retryAfter;
    } else if (kind === "limited" || kind === "overloaded") {
      this.#retryAfter = result.retryAfter;
    } else if (kind !== "no_retry") {
      this.#withholdReason = kind;
      this.#rejectedPart = kind === "rejected" ? result.part : undefined;
    }
  }

  async #relayResponse(result: AttemptHead): Promise<StreamStep> {
    if (!isEventStream(result.message)) {
      return await this.#relayComplete(result);
    }
    const expected = this.#version;
    // An entry of an older release ignores which version it may choose.
    const isExpected = expected === undefined ||
      await confirmVersion(result, {
        ...this.#context,
        expected,
        signal: this.#call.signal,
      });
    if (!isExpected) {
      this.#refuseVersion(result);
      return "other_version";
    }
    return await this.#relayEvents(result);
  }

  #refuseVersion({ trace, message }: AttemptHead): void {
    this.#context.metrics.increment("gateway.streams_of_other_version");
    trace.recordEndedBy(EndedBy.otherVersion);
    message.destroy();
  }

  /** Records the version whose events the stream contains from now on. */
  #bindTo(version: string | undefined): void {
    this.#version ??= version;
    this.#isVersionUnknown = version === undefined;
    // The entry that relays a stream records it.
    if (version !== undefined && this.#call.relayedBy === undefined) {
      this.#context.recordStream(this.#call, version);
    }
  }

  /**
   * Passes on a response that isn't an event stream. An error response to a
   * resumable stream is kept back, so that another upstream can be tried.
   */
  async #relayComplete(result: AttemptHead): Promise<StreamStep> {
    const { message, upstream } = result;
    const body = await readAttemptBody(result, {
      held: this.#context.bodies.held,
      isLengthCounted: false,
    });
    if (body === undefined) {
      return "broken";
    }
    this.#call.progress.recordReceived(this.#context.clock.steady());
    if (this.#response.headersSent) {
      return "failed";
    }
    this.#countUsage();
    if (message.statusCode! >= 500 && this.#call.route.isResumable) {
      this.#failedResponse = { upstream, message, body };
      return "failed";
    }
    this.#sendComplete({ upstream, message, body });
    return "done";
  }

  #sendComplete(
    { upstream, message, body }: CompleteResponse,
  ): void {
    this.#status = message.statusCode!;
    this.#call.progress.recordPassedOn(this.#context.clock.steady());
    this.#sent = sendUpstreamResponse(this.#response, {
      message,
      headers: [
        ...forwardHeaders.toCaller(message.rawHeaders),
        ...relayResponseHeaders(this.#call, { upstream }),
      ],
      body,
    });
  }

  async #relayEvents(result: AttemptHead): Promise<StreamStep> {
    const { message, framing, hasCrashed, recordFirstByte, trace } = result;
    const { progress } = this.#call;
    const splitter = new EventSplitter();
    const checkLimits = limitEvents(message, {
      splitter,
      isProgress: ({ hasData, lastId }) =>
        hasData && (!this.#call.route.isResumable ||
          (lastId !== undefined && lastId !== this.#lastEvent)),
      heldBytes: this.#context.bodies.held,
      clock: this.#context.clock,
    });
    let isBound = false;
    let isOtherVersion = false;
    let hasEvent = false;
    const endsWithConnection = framing === ResponseFraming.connectionEnd;
    // Alone, a head without framing would look like a complete response.
    if (!endsWithConnection) {
      this.#sendHead(result);
    }
    const isComplete = await relayBody(message, {
      response: this.#response,
      transform: (chunk) => {
        const now = this.#context.clock.steady();
        progress.recordReceived(now);
        recordFirstByte();
        this.#countUsage();
        const events = splitter.push(chunk);
        checkLimits(events);
        if (events !== undefined && !isBound) {
          // Its next heartbeat may have come between the head and the events.
          isOtherVersion = this.#version !== undefined && result.wasReplaced();
          if (isOtherVersion) {
            this.#refuseVersion(result);
            return undefined;
          }
          const version = this.#version ?? result.version();
          isBound = version !== undefined;
          this.#bindTo(version);
        }
        if (events !== undefined) {
          hasEvent ||= events.hasData;
          this.#sendHead(result);
          progress.recordPassedOn(now);
        }
        this.#lastEvent = events?.lastId ?? this.#lastEvent;
        if (events?.lastId !== undefined) {
          trace.recordLastEvent(events.lastId);
        }
        return events?.bytes;
      },
    });
    if (isOtherVersion) {
      return "other_version";
    }
    if (splitter.isInsideEvent) {
      trace.recordUnfinishedEvent(splitter.remainder.length);
      this.#context.metrics.increment("gateway.streams_ended_inside_event");
    }
    // A stream that ends inside an event was broken off, however it is framed.
    if (!isComplete || splitter.isInsideEvent) {
      return "broken";
    }
    this.#emptyEnds = hasEvent ? 0 : this.#emptyEnds + 1;
    if (endsWithConnection && !hasEvent && !this.#isEmptyEndConfirmed()) {
      trace.recordEndedBy(EndedBy.upstream);
      this.#context.metrics.increment("gateway.streams_ended_without_events");
      return "broken";
    }
    // Between events nothing in the stream tells whether it is complete.
    if (
      endsWithConnection &&
      (this.#response.chunkedEncoding ||
        await hasCrashed())
    ) {
      return "broken";
    }
    this.#sendHead(result);
    this.#sent = endResponse(this.#response, splitter.remainder);
    return "done";
  }

  /** Whether two upstreams have no event behind the last one. */
  #isEmptyEndConfirmed(): boolean {
    const { lastEvent } = this.#context.names;
    const isResumed = this.#lastEvent !== undefined ||
      this.#call.headers[lastEvent] !== undefined;
    return isResumed && this.#emptyEnds >= CONFIRMING_ENDS;
  }

  #sendHead(result: AttemptHead): void {
    if (!this.#response.headersSent) {
      this.#status = result.message.statusCode!;
      sendStreamHead(this.#response, { call: this.#call, result });
    }
  }

  #mayOfferAgain(): boolean {
    return mayOfferAgain(this.#call, {
      context: this.#context,
      excluded: this.#excluded,
      version: this.#version,
      offers: this.#offers,
      rejections: this.#rejections,
      refusedConnections: this.#refusedConnections,
    });
  }

  /** When the caller may return, if all upstreams rest. */
  #findRestDelay(): Milliseconds | undefined {
    return this.#restDelay ??
      (this.#wasSent && this.#retryAfter === undefined
        ? findRestDelay(this.#call, {
          context: this.#context,
          excluded: new Set(),
          version: this.#version,
          restsUntil: -Infinity,
        })
        : undefined);
  }

  #countUsage(): void {
    if (!this.#isUsageCounted) {
      this.#isUsageCounted = true;
      const { clock, countUsage } = this.#context;
      countUsage(this.#call.workspace?.name ?? "", clock.steady());
    }
  }

  #mayRetry(step: StreamStep): boolean {
    const { route, service } = this.#call;
    const wasOffered = step === "broken" || step === "other_version" ||
      step === "failed" || step === "not_run";
    if (!wasOffered || !this.#mayOfferAgain()) {
      return false;
    }
    if (this.#isVersionUnknown || !headerValue.allows(this.#lastEvent ?? "")) {
      return false;
    }
    const mayRunAgain = !this.#mayHaveRun ||
      (route.isResumable && this.#runs < route.maxAttempts);
    if (!mayRunAgain) {
      return false;
    }
    if (!this.#wasSent) {
      // No upstream has received anything that a retry would add to.
      return true;
    }
    const hasRetry = this.#call.relayedBy === undefined &&
      this.#context.retries.hasRetry(service);
    this.#stoppedBy = hasRetry ? undefined : StopReason.retryBudget;
    return hasRetry;
  }

  #toResult(outcome: ForwardResult["outcome"]): ForwardResult {
    return {
      outcome,
      status: this.#status,
      mayHaveRun: this.#mayHaveRun,
      stoppedBy: this.#stoppedBy,
      attempts: this.#attempts,
    };
  }
}

function outcomeOf(step: StreamStep, message: IncomingMessage): AttemptOutcome {
  if (step === "other_version") {
    return AttemptOutcome.invalid;
  }
  return step === "broken" ? brokenOutcome(message) : AttemptOutcome.complete;
}
