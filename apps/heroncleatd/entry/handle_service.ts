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
import { endWithConnection } from "../common/end_with_connection.ts";
import { memoize } from "../common/memoize.ts";
import { requestDigest } from "../common/request_digest.ts";
import { sendFault } from "../common/send_fault.ts";
import { admit } from "./admit.ts";
import type { CallerRequest } from "./caller_request.ts";
import { dispatchService } from "./dispatch_service.ts";
import type { EntryParts } from "./entry_parts.ts";
import { findSuspectFault } from "./find_suspect_fault.ts";
import { isIdempotent } from "./is_idempotent.ts";
import { listOtherEntries } from "./list_other_entries.ts";
import { readRequestOptions } from "./read_request_options.ts";
import { runClaimed } from "./run_claimed.ts";
import type { ServiceCall } from "./service_call.ts";
import type { ServiceOutcome } from "./service_outcome.ts";
import type { ServiceTarget } from "./service_target.ts";

const MAX_KEY_CHARACTERS = 200;

/** Handles one call to a plain service. */
export async function handleService(
  parts: EntryParts,
  call: CallerRequest,
  target: ServiceTarget,
): Promise<void> {
  const { entry, clock } = parts.context;
  const requestOptions = readRequestOptions(
    call.request,
    entry.default_deadline,
  );
  if (requestOptions.isErr) {
    sendFault(call.response, requestOptions.error);
    return;
  }
  const deadlineAt = clock.now() + requestOptions.value.deadline;
  const result = await createServiceCall(parts, call, {
    target,
    deadlineAt,
  });
  if (result.isErr) {
    sendFault(call.response, result.error);
    return;
  }
  const serviceCall = result.value;
  const suspectFault = findSuspectFault(
    parts.context.crashes,
    serviceCall.identity,
  );
  if (suspectFault !== undefined) {
    sendFault(call.response, suspectFault);
    return;
  }
  const admissionTarget = { model: "", service: target.service };
  const admission = await admit(parts.dispatch, {
    request: {
      token: serviceCall.token,
      workspace: call.workspace,
      priority: requestOptions.value.priority,
      deadlineAt,
    },
    target: admissionTarget,
  });
  if (admission.kind === "refused") {
    sendFault(call.response, admission.fault, {
      entries: listOtherEntries(parts),
    });
    return;
  }
  try {
    const outcome = serviceCall.isIdempotent
      ? await dispatchService(parts, serviceCall)
      : await runClaimed(parts, serviceCall);
    sendOutcome(parts, call.response, { outcome, key: serviceCall.key });
  } finally {
    const { token } = serviceCall;
    parts.dispatch.send({ kind: "release", token, target: admissionTarget });
  }
}

async function createServiceCall(
  parts: EntryParts,
  call: CallerRequest,
  options: { target: ServiceTarget; deadlineAt: Milliseconds },
): Promise<Result<ServiceCall, Fault>> {
  const { target, deadlineAt } = options;
  const body = await call.bodies.read(call.request, {
    response: call.response,
    maxBytes: parts.context.entry.max_body_bytes,
  });
  if (body.isErr) {
    return Result.err(body.error);
  }
  const key = String(call.request.headers["idempotency-key"] ?? createToken());
  if (key.length === 0 || key.length > MAX_KEY_CHARACTERS) {
    return Result.err(createFault(
      "bad_request",
      `Idempotency-Key has ${key.length} characters. Remedy: use 1 to ` +
        `${MAX_KEY_CHARACTERS}.`,
    ));
  }
  const token = createToken();
  const routedRequest: RoutedRequest = {
    id: token,
    workspace: call.workspace,
    model: "",
    service: target.service,
    method: call.request.method ?? "GET",
    path: target.path,
    prefix: [],
    promptTokens: 0,
    isContinued: false,
    exclude: [],
  };
  const header = call.request.headers["heroncleat-idempotent"];
  return Result.ok({
    routed: routedRequest,
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
          method: routedRequest.method,
          host: target.service,
          target: target.path,
          workspace: call.workspace,
          body: body.value,
        })
      ),
      parts: () => [],
    },
    isIdempotent: isIdempotent(routedRequest.method, {
      header: header === undefined ? undefined : String(header),
      selector: await readSelectorIdempotence(parts, routedRequest),
    }),
    deadlineAt,
  });
}

function readSelectorIdempotence(
  parts: EntryParts,
  routedRequest: RoutedRequest,
): Promise<boolean | undefined> {
  return new Promise((resolve) => {
    parts.dispatch.send({
      kind: "inspect",
      read: (router) => resolve(router.isIdempotent(routedRequest)),
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
    sendServiceResponse(response, outcome.outcome);
    return;
  }
  sendFault(response, outcome.fault, { entries: listOtherEntries(parts) });
}

function sendServiceResponse(response: ServerResponse, outcome: Outcome): void {
  const body = Buffer.from(outcome.body, "base64");
  if (outcome.isUnframed) {
    endWithConnection(response);
  } else {
    response.setHeader("content-length", body.length);
  }
  response.writeHead(outcome.status, { "content-type": outcome.contentType });
  response.end(body);
}
