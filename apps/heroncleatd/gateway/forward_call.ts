import type { IncomingMessage, ServerResponse } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { RouteKind } from "@heroncleat/serving";
import { attemptRequest } from "./attempts/attempt_request.ts";
import { AttemptOutcome } from "./attempts/attempt_outcome.ts";
import { brokenOutcome } from "./attempts/broken_outcome.ts";
import { breakOffResponse } from "./responses/break_off_response.ts";
import type { CallerRequest } from "./caller_request.ts";
import { describeWithholdReason } from "./attempts/describe_withhold_reason.ts";
import { EndedBy } from "./responses/ended_by.ts";
import { findEndedBy } from "./responses/find_ended_by.ts";
import type { ForwardContext } from "./forward_context.ts";
import { givenUpReason } from "./given_up_reason.ts";
import { findRestDelay } from "./limits/find_rest_delay.ts";
import { forwardHeaders } from "./forward_headers.ts";
import { relayResponseHeaders } from "./relay/relay_response_headers.ts";
import type { ForwardResult } from "./forward_result.ts";
import type { LocalResponse } from "./responses/local_response.ts";
import { mayGoOn } from "./upstreams/may_go_on.ts";
import { mayOfferAgain } from "./upstreams/may_offer_again.ts";
import { takeBody } from "./attempts/take_body.ts";
import { errorResponse } from "./responses/error_response.ts";
import { sendRefusal } from "./responses/send_refusal.ts";
import { limitUnread } from "./responses/limit_unread.ts";
import { sendUpstreamResponse } from "./responses/send_upstream_response.ts";
import { unopenedWeight } from "./upstreams/unopened_weight.ts";
import type { WithholdReason } from "./attempts/withhold_reason.ts";

type CompleteResponse = {
  /** Identifier of the upstream that sent it. */
  readonly upstream: string;
  readonly message: IncomingMessage;
  readonly body: Buffer;
  /** Whether its bytes are counted until they are released. */
  readonly isCounted: boolean;
};

/**
 * Forwards a request whose response is passed on once it is complete. After a
 * failure an idempotent request is sent again; any other request is sent again
 * only while no upstream can have run it.
 */
export async function forwardCall(
  call: CallerRequest,
  options: { context: ForwardContext; response: ServerResponse },
): Promise<ForwardResult> {
  const run = new CallRun(call, options);
  try {
    return await respond(run, call, options);
  } finally {
    run.releaseBodies();
  }
}

async function respond(
  run: CallRun,
  call: CallerRequest,
  { context, response }: { context: ForwardContext; response: ServerResponse },
): Promise<ForwardResult> {
  const upstreamResponse = await run.findResponse();
  if (run.passedOn !== undefined) {
    const { status, isWhole } = run.passedOn;
    if (isWhole) {
      return run.toResult("answered", status);
    }
    const outcome = run.hasCallerLeft ? "caller_left" : "failed";
    const endedBy = findEndedBy(call, { response, lastAttempt: run.endedBy });
    await breakOffResponse(response);
    return { ...run.toResult(outcome, status), endedBy };
  }
  if (upstreamResponse !== undefined) {
    const { message, body, upstream } = upstreamResponse;
    const endUnread = upstreamResponse.isCounted
      ? undefined
      : limitUnread(response, {
        bytes: body.length,
        request: call.attempt,
        upstream,
        context,
      });
    call.progress.recordPassedOn(context.clock.steady());
    await sendUpstreamResponse(response, {
      message,
      headers: [
        ...forwardHeaders.toCaller(message.rawHeaders),
        ...relayResponseHeaders(call, upstreamResponse),
      ],
      body,
    });
    endUnread?.();
    return run.toResult("answered", message.statusCode!);
  }
  const endedBy = findEndedBy(call, { response, lastAttempt: run.endedBy });
  if (run.hasCallerLeft) {
    return { ...run.toResult("caller_left", 0), endedBy };
  }
  const localResponse = run.localResponse();
  sendRefusal(response, localResponse, { call, names: context.names });
  return run.mayHaveRun
    ? { ...run.toResult("failed", localResponse.status), endedBy }
    : run.toResult("refused", localResponse.status);
}

class CallRun {
  readonly #call: CallerRequest;
  readonly #context: ForwardContext;
  /** Identifiers of upstreams that were tried. */
  readonly #excluded: Set<string>;
  readonly #attempts: string[] = [];
  mayHaveRun = false;
  #offers = 0;
  /** Offers that an upstream rejected without running the request. */
  #rejections = 0;
  #runs = 0;
  #isOver = false;
  #unopened = 0;
  /** What ended the last attempt early. */
  endedBy: EndedBy | undefined;
  /** Whether an attempt may have reached an upstream. */
  #wasSent = false;
  /**
   * Set if the request wasn't forwarded although upstreams may be available.
   */
  #withholdReason: WithholdReason | undefined;
  /** The part of the prompt for which the request is rejected, if any. */
  #rejectedPart: string | undefined;
  #failedResponse: CompleteResponse | undefined;
  /** Set if the response was passed on while it arrived. */
  passedOn: { readonly status: number; readonly isWhole: boolean } | undefined;
  readonly #response: ServerResponse;
  readonly #bodyReleases: (() => void)[] = [];
  /** Set if all upstreams that may serve the request rest. */
  #restDelay: Milliseconds | undefined;
  /** Set if all upstreams are at their rate limits. */
  #retryAfter: Milliseconds | undefined;

  constructor(
    call: CallerRequest,
    { context, response }: {
      context: ForwardContext;
      response: ServerResponse;
    },
  ) {
    this.#call = call;
    this.#excluded = new Set(call.excluded);
    this.#context = context;
    this.#response = response;
  }

  /** Releases the bytes of the responses; none may be sent any more. */
  releaseBodies(): void {
    for (const release of this.#bodyReleases.splice(0)) {
      release();
    }
  }

  get hasCallerLeft(): boolean {
    return this.#call.signal.aborted &&
      this.#call.signal.reason === "caller_left";
  }

  /** Creates the response for a call that no upstream responded to. */
  localResponse(): LocalResponse {
    return errorResponse.create({
      withholdReason: this.#withholdReason,
      rejectedPart: this.#rejectedPart,
      mayHaveRun: this.mayHaveRun,
      givenUpFor: givenUpReason(this.#call.signal),
      offers: this.#isOver ? Math.max(1, this.#offers) : this.#offers,
      wasSent: this.#wasSent,
      isInDoubt: this.#context.reachability.refusesRelays(this.#call.service),
      retryAfter: this.#retryAfter,
      restDelay: this.#findRestDelay(),
    });
  }

  toResult(outcome: ForwardResult["outcome"], status: number): ForwardResult {
    return {
      outcome,
      status,
      mayHaveRun: this.mayHaveRun,
      attempts: this.#attempts,
    };
  }

  /** Returns the upstream response to pass on, if any. */
  async findResponse(): Promise<CompleteResponse | undefined> {
    while (!this.#call.signal.aborted) {
      const response = await this.#tryOnce();
      if (response !== undefined) {
        return response;
      }
      if (!this.#mayRetry()) {
        break;
      }
    }
    return this.#failedResponse;
  }

  async #tryOnce(): Promise<CompleteResponse | undefined> {
    const call = this.#call;
    const context = this.#context;
    const runs = this.#runs + 1;
    const result = await attemptRequest(call, {
      context,
      excluded: this.#excluded,
      lastEvent: undefined,
      version: undefined,
      mayBeRefused: false,
      mayHaveRun: this.mayHaveRun,
      isRetry: this.#wasSent,
      isUsageCounted: false,
      unopened: this.#unopened,
      refusedConnections: 0,
      waitUntil: errorResponse.upstreamWaitUntil(call),
      signal: call.signal,
      mayGoOn: () =>
        mayGoOn(call, {
          context,
          excluded: this.#excluded,
          version: undefined,
          runs,
        }),
      recordRefusal: (refusal) => this.#attempts.push(refusal),
    });
    if (
      result.kind === "rejected" || result.kind === "held" ||
      result.kind === "leaving"
    ) {
      this.#attempts.push(describeWithholdReason(result));
      this.#withholdReason = result.kind;
      this.#rejectedPart = result.kind === "rejected" ? result.part : undefined;
      this.#giveUp();
      return undefined;
    }
    if (result.kind === "limited") {
      this.#attempts.push("all upstreams are at their rate limits");
      this.#retryAfter = result.retryAfter;
      this.#giveUp();
      return undefined;
    }
    if (result.kind === "resting") {
      this.#attempts.push("all upstreams rest");
      this.#restDelay = result.retryAfter;
      this.#giveUp();
      return undefined;
    }
    if (result.kind === "no_retry") {
      this.#attempts.push("no retry left");
      this.#giveUp();
      return undefined;
    }
    if (result.kind === "no_upstream" || result.kind === "overloaded") {
      this.#attempts.push("no upstream");
      if (result.kind === "overloaded") {
        this.#retryAfter = result.retryAfter;
      } else {
        this.#restDelay = result.retryAfter;
      }
      this.#giveUp();
      return undefined;
    }
    this.#excluded.add(result.upstream);
    this.#offers += 1;
    this.#unopened += unopenedWeight(result);
    this.#wasSent ||= unopenedWeight(result) === 0;
    if (result.kind === "not_run") {
      this.#rejections += unopenedWeight(result) === 0 ? 1 : 0;
      this.#attempts.push(result.trace.describe(`not run, ${result.reason}`));
      return undefined;
    }
    this.mayHaveRun = true;
    this.#runs += 1;
    if (result.kind === "unknown") {
      this.endedBy = result.trace.endedBy;
      this.#attempts.push(result.trace.describe(`unknown, ${result.reason}`));
      return undefined;
    }
    result.recordFirstByte();
    const taken = await takeBody(result, {
      call,
      response: this.#response,
      context,
    });
    call.progress.recordReceived(context.clock.steady());
    const isComplete = taken.kind === "passed_on"
      ? taken.isWhole
      : taken.kind === "held";
    result.finish(
      isComplete ? AttemptOutcome.complete : brokenOutcome(result.message),
    );
    const status = result.message.statusCode!;
    if (taken.kind === "passed_on") {
      this.passedOn = { status, isWhole: taken.isWhole };
    }
    if (!isComplete) {
      if (!call.signal.aborted) {
        result.trace.recordEndedBy(EndedBy.upstream);
      }
      this.endedBy = result.trace.endedBy;
      this.#attempts.push(result.trace.describe(`${status}, cut off`));
      return undefined;
    }
    this.#attempts.push(
      result.trace.describe(
        taken.kind === "held" ? `${status}` : `${status} passed on`,
      ),
    );
    if (!result.isRelayed) {
      context.countUsage(call.workspace?.name ?? "", context.clock.steady());
    }
    if (taken.kind !== "held") {
      return undefined;
    }
    this.#bodyReleases.push(taken.release);
    const response: CompleteResponse = {
      upstream: result.upstream,
      message: result.message,
      ...taken,
    };
    if (status >= 500 && this.#isRepeatable()) {
      this.#failedResponse = response;
      return undefined;
    }
    return response;
  }

  /** No upstream is asked any more. */
  #giveUp(): void {
    this.#isOver = true;
  }

  #mayOfferAgain(): boolean {
    return !this.#isOver && mayOfferAgain(this.#call, {
      context: this.#context,
      excluded: this.#excluded,
      version: undefined,
      offers: this.#offers,
      rejections: this.#rejections,
      refusedConnections: 0,
    });
  }

  /** When the caller may return, if all upstreams rest. */
  #findRestDelay(): Milliseconds | undefined {
    return this.#restDelay ??
      (this.#wasSent && this.#retryAfter === undefined
        ? findRestDelay(this.#call, {
          context: this.#context,
          excluded: new Set(),
          version: undefined,
          restsUntil: -Infinity,
        })
        : undefined);
  }

  #isRepeatable(): boolean {
    return this.#call.route.kind === RouteKind.idempotent;
  }

  #mayRetry(): boolean {
    if (this.passedOn !== undefined) {
      return false;
    }
    const mayRunAgain = !this.mayHaveRun ||
      (this.#isRepeatable() && this.#runs < this.#call.route.maxAttempts);
    if (!mayRunAgain || !this.#mayOfferAgain()) {
      return false;
    }
    if (!this.#wasSent) {
      // No upstream has received anything that a retry would add to.
      return true;
    }
    return this.#call.relayedBy === undefined &&
      this.#context.retries.hasRetry(this.#call.service);
  }
}
