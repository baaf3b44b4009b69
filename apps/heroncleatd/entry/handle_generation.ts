import {
  createFault,
  createToken,
  type Fault,
  formatRequestId,
  type Milliseconds,
} from "@heroncleat/base";
import { chooseStandby } from "@heroncleat/membership";
import {
  checkChatRequest,
  checkCompletionRequest,
  type RequestKind,
  type RequestRecord,
} from "@heroncleat/schema";
import { Result } from "true-myth/result";
import { parseJson } from "../common/parse_json.ts";
import { sendFault } from "../common/send_fault.ts";
import { admit } from "./admit.ts";
import type { CallerRequest } from "./caller_request.ts";
import type { EntryParts } from "./entry_parts.ts";
import { findSuspectFault } from "./find_suspect_fault.ts";
import { identifyGeneration } from "./identify_generation.ts";
import { listOtherEntries } from "./list_other_entries.ts";
import type { OwnershipOutcome } from "./ownership_outcome.ts";
import { promptText } from "./prompt_text.ts";
import { readRequestOptions } from "./read_request_options.ts";
import { sendResponse } from "./send_response.ts";

const CHARACTERS_PER_TOKEN = 4;
const MAX_STANDBY_ATTEMPTS = 3;

/** Handles one chat or completion request. */
export async function handleGeneration(
  parts: EntryParts,
  call: CallerRequest,
  kind: RequestKind,
): Promise<void> {
  const draft = await readDraft(parts, call, kind);
  if (draft.isErr) {
    sendFault(call.response, draft.error);
    return;
  }
  const suspectFault = findSuspectFault(
    parts.context.crashes,
    identifyGeneration(draft.value),
  );
  if (suspectFault !== undefined) {
    sendFault(call.response, suspectFault);
    return;
  }
  const token = createToken();
  const target = { model: draft.value.model, service: "" };
  const startedAt = parts.context.clock.now();
  const admission = await admit(parts.dispatch, {
    request: {
      token,
      workspace: call.workspace,
      priority: draft.value.priority,
      deadlineAt: startedAt + draft.value.deadline,
    },
    target,
  });
  if (admission.kind === "refused") {
    sendFault(call.response, admission.fault, {
      entries: listOtherEntries(parts),
    });
    return;
  }
  const release = () => parts.dispatch.send({ kind: "release", token, target });
  await acceptAndRespond(parts, call, {
    draft: draft.value,
    startedAt,
    release,
  });
}

/**
 * Accepts the request with the first standby that stores a copy, then sends the
 * response.
 */
async function acceptAndRespond(
  parts: EntryParts,
  call: CallerRequest,
  options: {
    draft: RequestRecord;
    startedAt: Milliseconds;
    release: () => void;
  },
): Promise<void> {
  const { draft, startedAt, release } = options;
  const tried: string[] = [];
  let fault = createNoStandbyFault();
  while (tried.length < MAX_STANDBY_ATTEMPTS) {
    const standby = pickStandby(parts, tried);
    if (standby === undefined) {
      break;
    }
    const record = completeRecord(draft, {
      owner: parts.context.name,
      standby,
      deadline: startedAt + draft.deadline - parts.context.clock.now(),
    });
    const outcome = await registerRequest(parts, record, release);
    if (outcome.kind === "accepted") {
      const deadlineAt = startedAt + draft.deadline;
      const position = { id: record.id, from: 0, deadlineAt, isNew: true };
      await sendResponse(parts, call, position);
      return;
    }
    fault = outcome.fault;
    tried.push(standby);
  }
  release();
  sendFault(call.response, fault, { entries: listOtherEntries(parts) });
}

/**
 * Returns the next standby to try; an empty name if the settings allow running
 * without one.
 */
function pickStandby(
  parts: EntryParts,
  tried: readonly string[],
): string | undefined {
  const { name, entry } = parts.context;
  const chosen = chooseStandby(parts.members(), {
    owner: name,
    exclude: tried,
    random: Math.random,
  });
  if (chosen !== undefined && !tried.includes(chosen.name)) {
    return chosen.name;
  }
  const isStandbyOptional = entry.standby === "preferred" &&
    !tried.includes("");
  return isStandbyOptional ? "" : undefined;
}

/** Registers the request at this entry and its standby. */
function registerRequest(
  parts: EntryParts,
  record: RequestRecord,
  release: () => void,
): Promise<OwnershipOutcome> {
  return new Promise((resolve) => {
    let isAccepted = false;
    parts.registry.send({
      kind: "own",
      record,
      reply: (outcome) => {
        isAccepted = outcome.kind === "accepted";
        resolve(outcome);
      },
      // A refused request keeps its admission while the next standby is tried.
      onEnded: () => isAccepted && release(),
    });
  });
}

function completeRecord(
  draft: RequestRecord,
  holders: { owner: string; standby: string; deadline: Milliseconds },
): RequestRecord {
  const id = formatRequestId(holders, createToken());
  return { ...draft, ...holders, id };
}

/** Reads and validates the request; its ID, owner and standby are set later. */
async function readDraft(
  parts: EntryParts,
  call: CallerRequest,
  kind: RequestKind,
): Promise<Result<RequestRecord, Fault>> {
  const { entry } = parts.context;
  const requestOptions = readRequestOptions(
    call.request,
    entry.default_deadline,
  );
  if (requestOptions.isErr) {
    return Result.err(requestOptions.error);
  }
  if (call.request.headers["heroncleat-idempotent"] === "false") {
    return Result.err(createFault(
      "bad_request",
      "Generations are always idempotent. Remedy: omit " +
        "Heroncleat-Idempotent, or send the call to a plain service.",
    ));
  }
  const body = await call.bodies.read(call.request, {
    response: call.response,
    maxBytes: entry.max_body_bytes,
  });
  if (body.isErr) {
    return Result.err(body.error);
  }
  const parsed = kind === "chat"
    ? parseJson(body.value, checkChatRequest)
    : parseJson(body.value, checkCompletionRequest);
  if (parsed.isErr) {
    return Result.err(parsed.error);
  }
  const text = body.value.toString("utf8");
  const characters = promptText(text).length;
  return Result.ok({
    id: "",
    workspace: call.workspace,
    kind,
    stream: parsed.value.stream ?? false,
    model: parsed.value.model,
    body: text,
    priority: requestOptions.value.priority,
    deadline: requestOptions.value.deadline,
    promptTokens: Math.ceil(characters / CHARACTERS_PER_TOKEN),
    epoch: 1,
    owner: "",
    standby: "",
  });
}

function createNoStandbyFault(): Fault {
  return createFault(
    "no_standby",
    "No other entry can hold a copy of the request. Remedy: retry after the " +
      "time in Retry-After; operators start a second entry or set entry.standby to " +
      "preferred.",
    { retryAfter: 1000 },
  );
}
