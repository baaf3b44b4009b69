import type { Milliseconds } from "@heroncleat/base";
import { type ChosenUpstream, limitPrefill } from "@heroncleat/serving";
import type { CallerRequest } from "../caller_request.ts";
import type { ForwardContext } from "../forward_context.ts";
import { priorityOf } from "../priority_of.ts";
import type { AttemptOptions } from "./attempt_options.ts";
import type { AttemptResult } from "./attempt_result.ts";

/**
 * Decides whether to refuse a request because its service is short, and counts
 * the decision.
 *
 * @returns The refusal, with its inputs for the log; undefined if the request is
 * admitted.
 */
export function shedLoad(
  call: CallerRequest,
  { context, chosen, isRetry, excluded }:
    & Pick<AttemptOptions, "isRetry" | "excluded">
    & { readonly context: ForwardContext; readonly chosen: ChosenUpstream },
): Extract<AttemptResult, { kind: "overloaded" }> | undefined {
  const { clock, shedder, metrics } = context;
  const now = clock.steady();
  const priority = priorityOf(call);
  const objectiveLeft = call.arrivedAt + call.objective - now;
  const timeLeft = call.deadline - now;
  const decision = shedder.decide({
    service: call.service,
    priority,
    workspace: call.workspace?.name ?? "",
    objectiveLeft,
    timeLeft,
    waiting: chosen.waiting,
    // The length of a prompt is stated by its caller, and the sum of prefill
    // times decides about others too.
    prefillTime: limitPrefill(chosen, { timeLeft }).readTime,
    isPrefillSpeedKnown: chosen.isPrefillSpeedKnown,
    isRepeated: isRetry || excluded.size > (call.excluded?.length ?? 0),
  }, now);
  if (decision.kind === "admitted") {
    metrics.increment("shedding.admitted");
    return undefined;
  }
  const { reason, retryAfter, limit, share, totalsAge } = decision;
  metrics.increment(`shedding.refused.${reason}.rank_${priority}`);
  const ms = (time: Milliseconds) => `${Math.round(time)}ms`;
  const facts = [
    `reason=${reason}`,
    `rank=${priority}`,
    `waiting=${ms(chosen.waiting)}`,
    `limit=${ms(limit)}`,
    `prefill=${ms(chosen.readTime)}`,
    `objective_left=${ms(objectiveLeft)}`,
    `share=${share.toFixed(2)}`,
    `totals_age=${totalsAge === undefined ? "none" : ms(totalsAge)}`,
    `sync_age=${ms(context.syncAge())}`,
    `upstream=${chosen.upstream.record.id}`,
    `retry_after=${ms(retryAfter)}`,
  ];
  return { kind: "overloaded", retryAfter, facts: facts.join(" ") };
}
