import type { LogLine } from "../explain/log_line.ts";
import { type LoggedAttempt, readAttempts } from "../explain/read_attempts.ts";
import type { EndedRequest } from "./ended_request.ts";
import { ON_TIME } from "./on_time.ts";

const REQUEST_END_PREFIX = "gateway: A request ended";
const REFUSAL_PREFIX = "gateway: Refused a request";
/** Share of the latency objective after which a send counts as delayed. */
const DELAYED_SEND_SHARE = 0.25;

/** Parses the line of an ended or refused request; ignores other lines. */
export function readEndedRequest(line: LogLine): EndedRequest | undefined {
  if (line.message.startsWith(REFUSAL_PREFIX)) {
    return {
      at: line.at,
      route: String(line.fields["route"] ?? ""),
      reason: `refused ${line.fields["status"]}: ${firstClauseOf(line)}`,
    };
  }
  if (!line.message.startsWith(REQUEST_END_PREFIX)) {
    return undefined;
  }
  const attempts = readAttempts(String(line.fields["attempts"] ?? ""));
  return {
    at: line.at,
    route: String(line.fields["route"] ?? ""),
    reason: reasonOf(line, attempts),
  };
}

function reasonOf(line: LogLine, attempts: readonly LoggedAttempt[]): string {
  const outcome = line.message.slice(REQUEST_END_PREFIX.length + 2);
  const last = attempts.at(-1);
  if (outcome !== "answered" || last === undefined) {
    return `${outcome}: ${last?.outcome ?? line.fields["attempts"]}`;
  }
  const status = Number(line.fields["status"] ?? 0);
  if (status >= 300) {
    return `upstream returned an error: ${last.outcome}`;
  }
  const objective = Number(line.fields["objective"] ?? Infinity);
  const responseTime = last.firstByte === undefined
    ? Number(line.fields["took"] ?? 0)
    : last.sentAfter + last.firstByte;
  return responseTime <= objective
    ? ON_TIME
    : lateReasonOf(last, { objective, count: attempts.length });
}

function lateReasonOf(
  last: LoggedAttempt,
  options: { objective: number; count: number },
): string {
  const { objective, count } = options;
  if (count > 1) {
    return "late: earlier attempt failed";
  }
  if (last.sentAfter > objective * DELAYED_SEND_SHARE) {
    return "late: delayed before it was sent";
  }
  return last.expected > objective
    ? "late: as expected, all upstreams were busy"
    : "late: upstream slower than expected";
}

function firstClauseOf(line: LogLine): string {
  return String(line.fields["reason"] ?? "").split(/[;.]/)[0]!;
}
