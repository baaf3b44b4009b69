import type { IncomingMessage } from "node:http";
import { createFault, type Fault, type Milliseconds } from "@heroncleat/base";
import type { Priority } from "@heroncleat/schema";
import { Result } from "true-myth/result";

/** What a caller asks for beside the body. */
type RequestTerms = {
  readonly priority: Priority;
  /** Time for the whole answer. */
  readonly deadline: Milliseconds;
};

const PRIORITIES: readonly Priority[] = [
  "icebreaker",
  "guest",
  "notice",
  "draft",
];
const DEFAULT_PRIORITY: Priority = "guest";
const MOST_DEADLINE = 3_600_000;

/** Reads priority and deadline from the headers. */
export function readTerms(
  request: IncomingMessage,
  defaultDeadline: Milliseconds,
): Result<RequestTerms, Fault> {
  const named = String(
    request.headers["heroncleat-priority"] ?? DEFAULT_PRIORITY,
  );
  const priority = PRIORITIES.find((known) => known === named);
  if (priority === undefined) {
    return refuse(
      `Heroncleat-Priority is ${JSON.stringify(named)}`,
      `use one of ${PRIORITIES.join(", ")}`,
    );
  }
  const deadline = Number(
    request.headers["heroncleat-deadline"] ?? defaultDeadline,
  );
  if (!(deadline > 0 && deadline <= MOST_DEADLINE)) {
    return refuse(
      "Heroncleat-Deadline is not a usable number of milliseconds",
      `use one from 1 to ${MOST_DEADLINE}`,
    );
  }
  return Result.ok({ priority, deadline });
}

function refuse(cause: string, remedy: string): Result<RequestTerms, Fault> {
  return Result.err(createFault("bad_request", `${cause}. Remedy: ${remedy}.`));
}
