import { ClockOffsets } from "./clock_offsets.ts";
import type { LogLine } from "./log_line.ts";
import { type LoggedAttempt, readAttempts } from "./read_attempts.ts";

/** Time before a request from which other events may have to do with it. */
const LOOK_BACK = 3000;
/** Other requests at the same upstreams that are shown, longest first. */
const MOST_NEIGHBOURS = 5;
/** A first byte that is later than expected by so much is pointed out. */
const LATE_BY = 200;
const MOST_PARTS = 6;
const END = "gateway: A request ended";

/** One step in the life of a request. */
export type TimelineStep = {
  /** True time since 1970, in ms. */
  readonly at: number;
  readonly process: string;
  readonly text: string;
  /** How far the process's clock was ahead, in ms; 0 for a right clock. */
  readonly clockAhead: number;
};

/** What the logs tell of one request. */
export type Explanation = {
  readonly request: string;
  readonly steps: readonly TimelineStep[];
  /** Events beside it that may have to do with it. */
  readonly around: readonly TimelineStep[];
  /** What the steps point to. */
  readonly hints: readonly string[];
};

/** Merges what processes logged of one request; nothing if none did. */
export function explainRequest(
  request: string,
  lines: readonly LogLine[],
): Explanation | undefined {
  const own = lines.filter(({ fields }) => fields["request"] === request);
  if (own.length === 0) {
    return undefined;
  }
  const clocks = new ClockOffsets(lines);
  const steps: TimelineStep[] = [];
  const attempts: LoggedAttempt[] = [];
  for (const line of own) {
    const found = readAttempts(String(line.fields["attempts"] ?? ""));
    attempts.push(...found);
    steps.push(...stepsOf(line, { clocks, attempts: found }));
  }
  steps.sort((left, right) => left.at - right.at);
  const from = steps[0]!.at - LOOK_BACK;
  const until = steps.at(-1)!.at;
  // A request's line is written at its end, which may come after this one's.
  const near = lines.filter((line) => {
    const endedAt = clocks.trueTime(line);
    const beganAt = endedAt - Number(line.fields["took"] ?? 0);
    return endedAt >= from && beganAt <= until &&
      line.fields["request"] !== request;
  });
  const around = [
    ...eventsOf(near, { clocks, own }),
    ...neighboursOf(near, { clocks, attempts }),
  ].sort((left, right) => left.at - right.at);
  return { request, steps, around, hints: hintsOf(own, attempts) };
}

function stepsOf(
  line: LogLine,
  options: { clocks: ClockOffsets; attempts: readonly LoggedAttempt[] },
): TimelineStep[] {
  const { clocks, attempts } = options;
  const endedAt = clocks.trueTime(line);
  const clockAhead = clocks.of(line);
  const { process } = line;
  const took = Number(line.fields["took"] ?? 0);
  const arrivedAt = endedAt - took;
  const step = (at: number, text: string): TimelineStep => ({
    at,
    process,
    text,
    clockAhead,
  });
  const steps: TimelineStep[] = [];
  if (line.message.startsWith(END)) {
    steps.push(step(arrivedAt, `arrived (${describe(line, "attempts")})`));
  }
  for (const attempt of attempts) {
    const sentAt = arrivedAt + attempt.sentAfter;
    steps.push(step(sentAt, `sent to ${attempt.upstream} (${attempt.facts})`));
    if (attempt.firstByte !== undefined) {
      const at = sentAt + attempt.firstByte;
      steps.push(step(at, `first byte of ${attempt.upstream}`));
    }
  }
  const outcomes = attempts.map(({ upstream, outcome }) =>
    `${upstream}: ${outcome}`
  );
  const ending = line.message.startsWith(END)
    ? [line.message, ...outcomes].join("; ")
    : `${line.message} (${describe(line, "request")})`;
  steps.push(step(endedAt, ending));
  return steps;
}

/** Lost dependencies, restarts, configurations and orders, not requests. */
function eventsOf(
  near: readonly LogLine[],
  options: { clocks: ClockOffsets; own: readonly LogLine[] },
): TimelineStep[] {
  const { clocks, own } = options;
  const entries = new Set(own.map(({ process }) => process));
  const events: TimelineStep[] = [];
  for (const line of near) {
    const isRequest = line.fields["request"] !== undefined;
    const isAtEntry = entries.has(line.process);
    const isOfGroup = /^(duties|group|consensus|daemon):/.test(line.message);
    if (!isRequest && (isAtEntry || isOfGroup)) {
      events.push({
        at: clocks.trueTime(line),
        process: line.process,
        text: `${line.message} (${describe(line, "")})`,
        clockAhead: clocks.of(line),
      });
    }
  }
  return events;
}

/** The longest prompts that went to the same upstreams meanwhile. */
function neighboursOf(
  near: readonly LogLine[],
  options: { clocks: ClockOffsets; attempts: readonly LoggedAttempt[] },
): TimelineStep[] {
  const { clocks, attempts } = options;
  const upstreams = new Set(attempts.map(({ upstream }) => upstream));
  const shared = near.filter(({ fields }) =>
    readAttempts(String(fields["attempts"] ?? "")).some(({ upstream }) =>
      upstreams.has(upstream)
    )
  );
  const size = ({ fields }: LogLine) => Number(fields["promptTokens"] ?? 0);
  shared.sort((left, right) => size(right) - size(left));
  return shared.slice(0, MOST_NEIGHBOURS).map((line) => ({
    at: clocks.trueTime(line) - Number(line.fields["took"] ?? 0),
    process: line.process,
    text: `at the same upstream: request ${line.fields["request"]} ` +
      `(promptTokens=${size(line)} took=${line.fields["took"]})`,
    clockAhead: clocks.of(line),
  }));
}

/** How the line of a request's end says why it wasn't sent on. */
const ENDED_UNDER_IT = "upstreams ended under it";

function hintsOf(
  own: readonly LogLine[],
  attempts: readonly LoggedAttempt[],
): string[] {
  const hints: string[] = [];
  for (const { message, fields } of own) {
    if (message.startsWith("gateway: Refused")) {
      hints.push(`Refused with ${fields["status"]}: ${fields["reason"]}`);
    }
    if (String(fields["attempts"]).includes(ENDED_UNDER_IT)) {
      hints.push(
        "Upstreams ended under this very request; heroncleat suspects shows " +
          "which, and suspect-clear has it sent on again.",
      );
    }
  }
  for (const { upstream, outcome, expected, firstByte } of attempts) {
    if (firstByte !== undefined && firstByte - expected > LATE_BY) {
      hints.push(
        `${upstream} began ${firstByte - expected} ms later than expected; ` +
          "look at the other requests there.",
      );
    }
    if (outcome.startsWith("not run")) {
      hints.push(`${upstream} did not run it: ${outcome}.`);
    }
    if (outcome.startsWith("unknown, ABORT_ERR")) {
      hints.push(
        `${upstream} had not answered when the route's or the caller's time ` +
          "was up, or when the caller left.",
      );
    } else if (outcome.startsWith("unknown") || outcome.includes("broken")) {
      hints.push(`${upstream} or the path to it broke off: ${outcome}.`);
    }
  }
  return hints;
}

function describe(line: LogLine, without: string): string {
  const parts: string[] = [];
  for (const [name, value] of Object.entries(line.fields)) {
    if (name !== without && name !== "request" && value !== "") {
      parts.push(`${name}=${value}`);
    }
  }
  return parts.slice(0, MOST_PARTS).join(" ");
}
