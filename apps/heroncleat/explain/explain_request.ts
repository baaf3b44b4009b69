import { ClockOffsets } from "./clock_offsets.ts";
import type { LogLine } from "./log_line.ts";
import { linesOfStream } from "./lines_of_stream.ts";
import { type LoggedAttempt, readAttempts } from "./read_attempts.ts";

/** Events up to this long before a request are shown with it. */
const LOOKBACK_MS = 3000;
/** Concurrent requests at the same upstreams to show, longest prompt first. */
const MAX_CONCURRENT_REQUESTS = 5;
/** A first byte that is later than expected by more than this gets a hint. */
const LATE_THRESHOLD_MS = 200;
const MAX_FIELDS = 6;
const REQUEST_END_PREFIX = "gateway: A request ended";

/** One event on the timeline of a request. */
export type TimelineStep = {
  /** Time corrected by the clock offset, in ms since 1970. */
  readonly at: number;
  readonly process: string;
  readonly text: string;
  /** Offset of the process's clock, in ms; positive if it was ahead. */
  readonly clockAhead: number;
};

/** Timeline of one request, from the logs of several processes. */
export type Explanation = {
  readonly request: string;
  readonly steps: readonly TimelineStep[];
  /** Other events at that time that may be related. */
  readonly around: readonly TimelineStep[];
  /** Likely causes of a failure or a delay. */
  readonly hints: readonly string[];
};

/**
 * Merges the lines that processes logged about one request, if any did, and
 * about the other attempts at the same stream.
 */
export function explainRequest(
  request: string,
  lines: readonly LogLine[],
): Explanation | undefined {
  const requestLines = linesOfStream(request, lines);
  if (!requestLines.some(({ fields }) => fields["request"] === request)) {
    return undefined;
  }
  const clocks = new ClockOffsets(lines);
  const steps: TimelineStep[] = [];
  const attempts: LoggedAttempt[] = [];
  for (const line of requestLines) {
    const lineAttempts = readAttempts(String(line.fields["attempts"] ?? ""));
    attempts.push(...lineAttempts);
    steps.push(...buildSteps(line, { clocks, attempts: lineAttempts }));
  }
  steps.sort((left, right) => left.at - right.at);
  const from = steps[0]!.at - LOOKBACK_MS;
  const until = steps.at(-1)!.at;
  // A request is logged when it ends, so a concurrent one may be logged after
  // this one.
  const nearbyLines = lines.filter((line) => {
    const endedAt = clocks.trueTime(line);
    const beganAt = endedAt - Number(line.fields["took"] ?? 0);
    return endedAt >= from && beganAt <= until &&
      !requestLines.includes(line);
  });
  const around = [
    ...findRelatedEvents(nearbyLines, { clocks, requestLines }),
    ...findConcurrentRequests(nearbyLines, { clocks, attempts }),
  ].sort((left, right) => left.at - right.at);
  return { request, steps, around, hints: buildHints(requestLines, attempts) };
}

function buildSteps(
  line: LogLine,
  options: { clocks: ClockOffsets; attempts: readonly LoggedAttempt[] },
): TimelineStep[] {
  const { clocks, attempts } = options;
  const endedAt = clocks.trueTime(line);
  const clockAhead = clocks.offsetAt(line);
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
  const resumption = describeResumption(line);
  if (resumption !== undefined) {
    steps.push(step(arrivedAt, resumption));
  }
  if (line.message.startsWith(REQUEST_END_PREFIX)) {
    steps.push(step(arrivedAt, `arrived (${formatFields(line, "attempts")})`));
  }
  for (const attempt of attempts) {
    const sentAt = arrivedAt + attempt.sentAfter;
    steps.push(
      step(sentAt, `sent to ${attempt.upstream} (${attempt.details})`),
    );
    if (attempt.firstByte !== undefined) {
      const at = sentAt + attempt.firstByte;
      steps.push(step(at, `first byte of ${attempt.upstream}`));
    }
  }
  const outcomes = attempts.map(({ upstream, outcome }) =>
    `${upstream}: ${outcome}`
  );
  const endText = line.message.startsWith(REQUEST_END_PREFIX)
    ? [line.message, ...outcomes].join("; ")
    : `${line.message} (${formatFields(line, "request")})`;
  steps.push(step(endedAt, endText));
  return steps;
}

/** What an entry knew of the stream that a request resumes. */
function describeResumption({ fields }: LogLine): string | undefined {
  const { request, resumes, boundTo, boundBy, boundAge } = fields;
  if (!resumes) {
    return undefined;
  }
  const origin = boundBy
    ? `its version ${boundTo} is known by ${boundBy}, age=${boundAge}ms`
    : "its version isn't known";
  return `${request} resumes ${resumes}: ${origin}`;
}

/** Finds events other than requests, such as restarts and orders. */
function findRelatedEvents(
  nearbyLines: readonly LogLine[],
  options: { clocks: ClockOffsets; requestLines: readonly LogLine[] },
): TimelineStep[] {
  const { clocks, requestLines } = options;
  const entryNames = new Set(requestLines.map(({ process }) => process));
  const events: TimelineStep[] = [];
  for (const line of nearbyLines) {
    const isRequest = line.fields["request"] !== undefined;
    const isFromEntry = entryNames.has(line.process);
    const isClusterEvent = /^(duties|group|consensus|daemon):/.test(
      line.message,
    );
    if (!isRequest && (isFromEntry || isClusterEvent)) {
      events.push({
        at: clocks.trueTime(line),
        process: line.process,
        text: `${line.message} (${formatFields(line, "")})`,
        clockAhead: clocks.offsetAt(line),
      });
    }
  }
  return events;
}

/** Finds concurrent requests at the same upstreams, longest prompt first. */
function findConcurrentRequests(
  nearbyLines: readonly LogLine[],
  options: { clocks: ClockOffsets; attempts: readonly LoggedAttempt[] },
): TimelineStep[] {
  const { clocks, attempts } = options;
  const upstreams = new Set(attempts.map(({ upstream }) => upstream));
  const concurrent = nearbyLines.filter(({ fields }) =>
    readAttempts(String(fields["attempts"] ?? "")).some(({ upstream }) =>
      upstreams.has(upstream)
    )
  );
  const promptTokensOf = ({ fields }: LogLine) =>
    Number(fields["promptTokens"] ?? 0);
  concurrent.sort((left, right) =>
    promptTokensOf(right) - promptTokensOf(left)
  );
  return concurrent.slice(0, MAX_CONCURRENT_REQUESTS).map((line) => ({
    at: clocks.trueTime(line) - Number(line.fields["took"] ?? 0),
    process: line.process,
    text: `at the same upstream: request ${line.fields["request"]} ` +
      `(promptTokens=${promptTokensOf(line)} took=${line.fields["took"]})`,
    clockAhead: clocks.offsetAt(line),
  }));
}

/** Logged for a request that isn't forwarded as upstreams crashed on it. */
const CRASH_REJECTION = "upstreams ended under it";

function buildHints(
  requestLines: readonly LogLine[],
  attempts: readonly LoggedAttempt[],
): string[] {
  const hints: string[] = [];
  for (const { message, fields } of requestLines) {
    if (message.startsWith("gateway: Refused")) {
      hints.push(`Refused with ${fields["status"]}: ${fields["reason"]}`);
    }
    if (String(fields["attempts"]).includes(CRASH_REJECTION)) {
      hints.push(
        "Upstreams crashed while running this request; heroncleat suspects " +
          "lists it, and suspect-clear allows forwarding it again.",
      );
    }
  }
  for (const { upstream, outcome, expected, firstByte } of attempts) {
    if (firstByte !== undefined && firstByte - expected > LATE_THRESHOLD_MS) {
      hints.push(
        `${upstream} began ${firstByte - expected} ms later than expected; ` +
          "check the other requests at this upstream.",
      );
    }
    if (outcome.startsWith("not run")) {
      hints.push(`${upstream} did not run it: ${outcome}.`);
    }
    if (outcome.startsWith("unknown, ABORT_ERR")) {
      hints.push(
        `${upstream} had not answered when the timeout of the route or the ` +
          "caller's deadline expired, or when the caller disconnected.",
      );
    } else if (outcome.startsWith("unknown") || outcome.includes("broken")) {
      hints.push(`${upstream} or the connection to it failed: ${outcome}.`);
    }
  }
  return hints;
}

function formatFields(line: LogLine, excluded: string): string {
  const pairs: string[] = [];
  for (const [name, value] of Object.entries(line.fields)) {
    if (name !== excluded && name !== "request" && value !== "") {
      pairs.push(`${name}=${value}`);
    }
  }
  return pairs.slice(0, MAX_FIELDS).join(" ");
}
