import type { IncomingMessage, ServerResponse } from "node:http";
import { RouteKind } from "@heroncleat/serving";
import { attempt } from "./attempt.ts";
import { AttemptEnding } from "./attempt_ending.ts";
import type { CallerRequest } from "./caller_request.ts";
import { describeWithheld } from "./describe_withheld.ts";
import type { ForwardContext } from "./forward_context.ts";
import { forwardHeaders } from "./forward_headers.ts";
import type { ForwardResult } from "./forward_result.ts";
import type { OwnAnswer } from "./own_answer.ts";
import { readAnswerBody } from "./read_answer_body.ts";
import { refusal } from "./refusal.ts";
import { sendOwnAnswer } from "./send_own_answer.ts";
import { sendUpstreamAnswer } from "./send_upstream_answer.ts";
import type { Withheld } from "./withheld.ts";

/** Times that a request is offered to upstreams that don't run it. */
const MOST_OFFERS = 3;

/** A whole answer of an upstream. */
type WholeAnswer = { readonly message: IncomingMessage; readonly body: Buffer };

/**
 * Forwards a request whose answer is passed on whole: one that may be
 * repeated is sent again after a failure, any other only while no upstream
 * can have run it.
 */
export async function forwardCall(
  call: CallerRequest,
  options: { context: ForwardContext; response: ServerResponse },
): Promise<ForwardResult> {
  const { context, response } = options;
  const run = new CallRun(call, context);
  const answer = await run.findAnswer();
  if (answer !== undefined) {
    sendUpstreamAnswer(response, {
      message: answer.message,
      headers: forwardHeaders.toCaller(answer.message.rawHeaders),
      body: answer.body,
    });
    return run.describe("answered", answer.message.statusCode!);
  }
  if (run.callerLeft) {
    return run.describe("caller_left", 0);
  }
  const own = run.ownAnswer();
  sendOwnAnswer(response, own);
  return run.describe(run.mayHaveRun ? "failed" : "refused", own.status);
}

/** The attempts of one call. */
class CallRun {
  readonly #call: CallerRequest;
  readonly #context: ForwardContext;
  readonly #excluded = new Set<string>();
  readonly #attempts: string[] = [];
  mayHaveRun = false;
  #offers = 0;
  #runs = 0;
  /** Why it wasn't sent on, though there may be upstreams for it. */
  #withheld: Withheld | undefined;
  #failure: WholeAnswer | undefined;

  constructor(call: CallerRequest, context: ForwardContext) {
    this.#call = call;
    this.#context = context;
  }

  get callerLeft(): boolean {
    return this.#call.signal.aborted &&
      this.#call.signal.reason === "caller_left";
  }

  /** What the caller gets where there is no answer to pass on. */
  ownAnswer(): OwnAnswer {
    return refusal.of({
      withheld: this.#withheld,
      mayHaveRun: this.mayHaveRun,
      isTimeUp: this.#call.signal.aborted,
      offers: this.#offers,
    });
  }

  describe(outcome: ForwardResult["outcome"], status: number): ForwardResult {
    return {
      outcome,
      status,
      mayHaveRun: this.mayHaveRun,
      attempts: this.#attempts,
    };
  }

  /** The answer to pass on; nothing when there is none. */
  async findAnswer(): Promise<WholeAnswer | undefined> {
    while (!this.#call.signal.aborted) {
      const answer = await this.#tryOnce();
      if (answer !== undefined) {
        return answer;
      }
      if (!this.#mayGoOn()) {
        break;
      }
    }
    return this.#failure;
  }

  async #tryOnce(): Promise<WholeAnswer | undefined> {
    const call = this.#call;
    const context = this.#context;
    const result = await attempt(call, {
      context,
      excluded: this.#excluded,
      lastEvent: undefined,
      mayBeRefused: false,
      mayHaveRun: this.mayHaveRun,
      waitUntil: refusal.waitUntil(call),
      signal: call.signal,
    });
    if (
      result.kind === "rejected" || result.kind === "held" ||
      result.kind === "leaving"
    ) {
      this.#attempts.push(describeWithheld(result.kind));
      this.#withheld = result.kind;
      this.#offers = MOST_OFFERS;
      return undefined;
    }
    if (result.kind === "no_upstream" || result.kind === "overloaded") {
      this.#attempts.push("no upstream");
      this.#offers = MOST_OFFERS;
      return undefined;
    }
    this.#excluded.add(result.upstream);
    this.#offers += 1;
    if (result.kind === "not_run") {
      this.#attempts.push(result.trace.describe(`not run, ${result.reason}`));
      return undefined;
    }
    this.mayHaveRun = true;
    this.#runs += 1;
    if (result.kind === "unknown") {
      this.#attempts.push(result.trace.describe(`unknown, ${result.reason}`));
      return undefined;
    }
    result.noteFirstByte();
    const body = await readAnswerBody(result.message);
    result.finish(
      body === undefined ? AttemptEnding.broken : AttemptEnding.whole,
    );
    const status = result.message.statusCode!;
    if (body === undefined) {
      this.#attempts.push(result.trace.describe(`${status}, cut off`));
      return undefined;
    }
    this.#attempts.push(result.trace.describe(`${status}`));
    context.countUsage(call.workspace?.name ?? "", context.clock.steady());
    const answer = { message: result.message, body };
    if (status >= 500 && this.#isRepeatable()) {
      this.#failure = answer;
      return undefined;
    }
    return answer;
  }

  #isRepeatable(): boolean {
    return this.#call.route.kind === RouteKind.idempotent;
  }

  #mayGoOn(): boolean {
    const mayRunAgain = !this.mayHaveRun ||
      (this.#isRepeatable() && this.#runs < this.#call.route.maxAttempts);
    if (!mayRunAgain || this.#offers >= MOST_OFFERS) {
      return false;
    }
    const { clock, allowanceOf, countEntries } = this.#context;
    return allowanceOf(this.#call.service).tryConsume(
      clock.steady(),
      countEntries(),
    );
  }
}
