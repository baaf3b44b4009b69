import type { ServerResponse } from "node:http";
import {
  createFault,
  createToken,
  type Fault,
  type Milliseconds,
} from "@heroncleat/base";
import type { RoutedRequest } from "@heroncleat/routing";
import type { Outcome } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import { memoize } from "../common/memoize.ts";
import { readLimitedBody } from "../common/read_limited_body.ts";
import { requestDigest } from "../common/request_digest.ts";
import { sendFault } from "../common/send_fault.ts";
import { admit } from "./admit.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { EntryParts } from "./entry_parts.ts";
import { isIdempotent } from "./is_idempotent.ts";
import { otherEntries } from "./other_entries.ts";
import { readTerms } from "./read_terms.ts";
import { runClaimed } from "./run_claimed.ts";
import type { ServiceCall } from "./service_call.ts";
import { dispatchService } from "./service_dispatcher.ts";
import type { ServiceOutcome } from "./service_outcome.ts";
import type { ServiceTarget } from "./service_target.ts";
import { withhold } from "./withhold.ts";

const MOST_KEY_CHARACTERS = 200;

/** Serves one call to a plain service. */
export async function handleService(
  parts: EntryParts,
  call: CallerRequest,
  target: ServiceTarget,
): Promise<void> {
  const { entry, clock } = parts.context;
  const terms = readTerms(call.request, entry.default_deadline);
  if (terms.isErr) {
    sendFault(call.response, terms.error);
    return;
  }
  const until = clock.now() + terms.value.deadline;
  const built = await buildCall(parts, call, { target, until });
  if (built.isErr) {
    sendFault(call.response, built.error);
    return;
  }
  const service = built.value;
  const withheld = withhold(parts.context.crashes, service.identity);
  if (withheld !== undefined) {
    sendFault(call.response, withheld);
    return;
  }
  const lane = { model: "", service: target.service };
  const answer = await admit(parts.dispatch, {
    request: {
      token: service.token,
      workspace: call.workspace,
      priority: terms.value.priority,
      deadlineAt: until,
    },
    target: lane,
  });
  if (answer.kind === "refused") {
    sendFault(call.response, answer.fault, { entries: otherEntries(parts) });
    return;
  }
  try {
    const outcome = service.isIdempotent
      ? await dispatchService(parts, service)
      : await runClaimed(parts, service);
    sendOutcome(parts, call.response, { outcome, key: service.key });
  } finally {
    const { token } = service;
    parts.dispatch.send({ kind: "release", token, target: lane });
  }
}

async function buildCall(
  parts: EntryParts,
  call: CallerRequest,
  options: { target: ServiceTarget; until: Milliseconds },
): Promise<Result<ServiceCall, Fault>> {
  const { target, until } = options;
  const body = await readLimitedBody(
    call.request,
    parts.context.entry.max_body_bytes,
  );
  if (body.isErr) {
    return Result.err(body.error);
  }
  const key = String(call.request.headers["idempotency-key"] ?? createToken());
  if (key.length === 0 || key.length > MOST_KEY_CHARACTERS) {
    return Result.err(createFault(
      "bad_request",
      `Idempotency-Key has ${key.length} characters. Remedy: use 1 to ` +
        `${MOST_KEY_CHARACTERS}.`,
    ));
  }
  const token = createToken();
  const routed: RoutedRequest = {
    id: token,
    workspace: call.workspace,
    model: "",
    service: target.service,
    method: call.request.method ?? "GET",
    path: target.path,
    prefix: [],
    promptTokens: 0,
    exclude: [],
  };
  const header = call.request.headers["heroncleat-idempotent"];
  return Result.ok({
    routed,
    token,
    contentType: call.request.headers["content-type"] ??
      "application/octet-stream",
    body: body.value,
    key,
    identity: {
      attempt: token,
      workspace: call.workspace,
      service: target.service,
      size: body.value.length,
      digest: memoize(() =>
        requestDigest({
          method: routed.method,
          host: target.service,
          target: target.path,
          workspace: call.workspace,
          body: body.value,
        })
      ),
    },
    isIdempotent: isIdempotent(routed.method, {
      header: header === undefined ? undefined : String(header),
      selector: await readSelector(parts, routed),
    }),
    until,
  });
}

function readSelector(
  parts: EntryParts,
  routed: RoutedRequest,
): Promise<boolean | undefined> {
  return new Promise((resolve) => {
    parts.dispatch.send({
      kind: "inspect",
      read: (router) => resolve(router.isIdempotent(routed)),
    });
  });
}

function sendOutcome(
  parts: EntryParts,
  response: ServerResponse,
  options: { outcome: ServiceOutcome; key: string },
): void {
  const { outcome, key } = options;
  if (response.destroyed) {
    return;
  }
  response.setHeader("idempotency-key", key);
  if (outcome.kind === "answered") {
    sendStored(response, outcome.outcome);
    return;
  }
  sendFault(response, outcome.fault, { entries: otherEntries(parts) });
}

function sendStored(response: ServerResponse, outcome: Outcome): void {
  const body = Buffer.from(outcome.body, "base64");
  response.writeHead(outcome.status, {
    "content-type": outcome.contentType,
    "content-length": body.length,
  });
  response.end(body);
}
