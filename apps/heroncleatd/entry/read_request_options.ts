import type { IncomingMessage } from "node:http";
import { createFault, type Fault, type Milliseconds } from "@heroncleat/base";
import type { Priority } from "@heroncleat/schema";
import { Result } from "true-myth/result";

/** Options that a caller sets in headers. */
type RequestOptions = {
  readonly priority: Priority;
  /** Time limit for the complete response. */
  readonly deadline: Milliseconds;
};

const PRIORITIES: readonly Priority[] = [
  "icebreaker",
  "guest",
  "notice",
  "draft",
];
const DEFAULT_PRIORITY: Priority = "guest";
const MAX_DEADLINE_MS = 3_600_000;

/** Reads the priority and the deadline from the headers. */
export function readRequestOptions(
  request: IncomingMessage,
  defaultDeadline: Milliseconds,
): Result<RequestOptions, Fault> {
  const priorityName = String(
    request.headers["heroncleat-priority"] ?? DEFAULT_PRIORITY,
  );
  const priority = PRIORITIES.find((known) => known === priorityName);
  if (priority === undefined) {
    return createRefusal(
      `Heroncleat-Priority is ${JSON.stringify(priorityName)}`,
      `use one of ${PRIORITIES.join(", ")}`,
    );
  }
  const deadline = Number(
    request.headers["heroncleat-deadline"] ?? defaultDeadline,
  );
  if (!(deadline > 0 && deadline <= MAX_DEADLINE_MS)) {
    return createRefusal(
      "Heroncleat-Deadline is not a valid number of milliseconds",
      `use a number from 1 to ${MAX_DEADLINE_MS}`,
    );
  }
  return Result.ok({ priority, deadline });
}

function createRefusal(
  cause: string,
  remedy: string,
): Result<RequestOptions, Fault> {
  return Result.err(createFault("bad_request", `${cause}. Remedy: ${remedy}.`));
}
