import { createHash } from "node:crypto";
import { createFault, type Fault } from "@heroncleat/base";
import type { Claim, ClaimReply } from "@heroncleat/schema";
import { ClaimClient } from "./claim_client.ts";
import { dispatchService } from "./dispatch_service.ts";
import type { EntryParts } from "./entry_parts.ts";
import type { ServiceCall } from "./service_call.ts";
import type { ServiceOutcome } from "./service_outcome.ts";

const CLAIM_TIMEOUT_MS = 2500;
const POLL_INTERVAL_MS = 100;

/**
 * Runs a call at most once: claims its key in the ledger, sends the call and
 * stores its outcome. A repeat at any entry gets the stored outcome.
 */
export async function runClaimed(
  parts: EntryParts,
  call: ServiceCall,
): Promise<ServiceOutcome> {
  const claims = new ClaimClient(parts.context.control);
  const reply = await claimCall(parts, call, claims);
  if (reply === undefined) {
    releaseClaim(call, claims);
    return { kind: "not_run", fault: createNoQuorumFault() };
  }
  switch (reply.outcome) {
    case "conflict":
      return { kind: "not_run", fault: createConflictFault() };
    case "exists":
      return await followClaim(parts, call, { claims, claim: reply.claim });
    case "claimed":
      return await runOnce(parts, call, { claims, claim: reply.claim });
  }
}

/**
 * Releases the key of a refused call, since its claim may still be committed
 * although no reply arrived.
 */
function releaseClaim(call: ServiceCall, claims: ClaimClient): void {
  const { workspace } = call.routed;
  const { key, token } = call;
  void claims.resolve({ workspace, key, attempt: token }, {
    state: "not_run",
  });
}

function claimCall(
  parts: EntryParts,
  call: ServiceCall,
  claims: ClaimClient,
): Promise<ClaimReply | undefined> {
  const { clock, name } = parts.context;
  const remaining = call.deadlineAt - clock.now();
  return claims.claim({
    kind: "claim",
    workspace: call.routed.workspace,
    key: call.key,
    digest: computeDigest(call),
    owner: name,
    attempt: call.token,
    at: 0,
    deadline: clock.wall() + remaining,
  }, Math.max(1, Math.min(remaining, CLAIM_TIMEOUT_MS)));
}

async function runOnce(
  parts: EntryParts,
  call: ServiceCall,
  options: { claims: ClaimClient; claim: Claim },
): Promise<ServiceOutcome> {
  const { claims, claim } = options;
  if (claim.state !== "claimed") {
    return await followClaim(parts, call, options);
  }
  const result = await dispatchService(parts, call);
  switch (result.kind) {
    case "answered":
      await claims.resolve(claim, { state: "done", outcome: result.outcome });
      return result;
    case "not_run":
      await claims.resolve(claim, { state: "not_run" });
      return result;
    case "unknown":
      await claims.resolve(claim, { state: "unknown" });
      return {
        kind: "unknown",
        fault: createUnknownFault(
          "the connection broke or the response was late",
        ),
      };
  }
}

/** Waits for the outcome of a call that another request runs. */
async function followClaim(
  parts: EntryParts,
  call: ServiceCall,
  options: { claims: ClaimClient; claim: Claim },
): Promise<ServiceOutcome> {
  let claim: Claim | undefined = options.claim;
  while (claim !== undefined && isRunning(parts, claim)) {
    if (parts.context.clock.now() >= call.deadlineAt) {
      return { kind: "unknown", fault: createInProgressFault() };
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    claim = await options.claims.find(call.routed.workspace, call.key) ??
      claim;
  }
  if (claim.state === "done" && claim.outcome !== undefined) {
    return { kind: "answered", outcome: claim.outcome };
  }
  if (claim.state === "not_run") {
    return { kind: "not_run", fault: createNotRunFault() };
  }
  return {
    kind: "unknown",
    fault: createUnknownFault(
      "the first request with this key got no response",
    ),
  };
}

/** Whether the claim's owner may still store an outcome. */
function isRunning(parts: EntryParts, claim: Claim): boolean {
  if (claim.state !== "claimed") {
    return false;
  }
  const owner = parts.members().find((member) => member.name === claim.owner);
  const isOwnerGone = owner === undefined || owner.state === "dead";
  return !isOwnerGone && parts.context.clock.wall() < claim.deadline;
}

function computeDigest(call: ServiceCall): string {
  const { method, service, path } = call.routed;
  return createHash("sha256")
    .update(JSON.stringify([method, service, path]))
    .update(call.body)
    .digest("hex");
}

function createNoQuorumFault(): Fault {
  return createFault(
    "no_quorum",
    "The call could not be claimed, so it was not run. Remedy: send it again " +
      "with the same Idempotency-Key after the time in Retry-After.",
    { retryAfter: 1000 },
  );
}

function createConflictFault(): Fault {
  return createFault(
    "conflict",
    "This Idempotency-Key was used for another request. Remedy: use a new " +
      "key for a new request.",
  );
}

function createInProgressFault(): Fault {
  return createFault(
    "in_progress",
    "The first request with this key is still running. Remedy: send it again " +
      "with the same key.",
    { run: "unknown", retryAfter: 1000 },
  );
}

function createNotRunFault(): Fault {
  return createFault(
    "upstream_failed",
    "The first request with this key was not run. Remedy: send it again with " +
      "the same key.",
    { retryAfter: 200 },
  );
}

function createUnknownFault(cause: string): Fault {
  return createFault(
    "outcome_unknown",
    `The call was sent and its outcome is unknown (${cause}). Remedy: check ` +
      "with the service; the call will not be run again under this key.",
    { run: "unknown" },
  );
}
