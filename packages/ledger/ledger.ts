import { ownValue, parseRequestId } from "@heroncleat/base";
import type {
  Claim,
  ClaimCommand,
  ClaimReply,
  Custody,
  CustodyCommand,
  CustodyOutcome,
  CustodyReply,
  ExpireCommand,
  LedgerState,
  ResolveCommand,
} from "@heroncleat/schema";

/** Version of the stored state; see `migrate_ledger.ts`. */
const VERSION = 1;

/**
 * The replicated ledger: a deterministic state machine over committed commands.
 * Claims grant a non-idempotent request to one attempt; custody assigns an
 * accepted request to its owner and standby.
 *
 * @public
 */
export class Ledger {
  readonly #state: LedgerState;

  constructor(
    state: LedgerState = { version: VERSION, claims: {}, custody: {} },
  ) {
    this.#state = state;
  }

  get state(): LedgerState {
    return this.#state;
  }

  find(workspace: string, key: string): Claim | undefined {
    return this.#state.claims[claimKey(workspace, key)];
  }

  /**
   * Grants the key to the first attempt, or to the next one if the request was
   * not run. Others receive the existing claim as `exists`, or as `conflict` if
   * the digest differs.
   */
  claim(command: ClaimCommand): ClaimReply {
    const existing = this.find(command.workspace, command.key);
    if (existing === undefined || existing.state === "not_run") {
      return this.#grantClaim(command, existing);
    }
    if (existing.digest !== command.digest) {
      return { outcome: "conflict", claim: existing };
    }
    // An attempt that lost the reply repeats its claim.
    const outcome = existing.attempt === command.attempt ? "claimed" : "exists";
    return { outcome, claim: existing };
  }

  /** Stores the outcome of a claim, once and only for its own attempt. */
  resolve(command: ResolveCommand): Claim | undefined {
    const claim = this.find(command.workspace, command.key);
    if (claim === undefined || claim.attempt !== command.attempt) {
      return claim;
    }
    if (claim.state !== "claimed") {
      return claim;
    }
    claim.state = command.state;
    claim.storedAt = command.at;
    if (command.outcome !== undefined) {
      claim.outcome = command.outcome;
    }
    return claim;
  }

  /** Deletes claims and custody past their retention. */
  expire(command: ExpireCommand): void {
    const cutoff = command.at - command.retention;
    for (const [name, claim] of Object.entries(this.#state.claims)) {
      // The attempt of an unresolved claim may run until its deadline, so the
      // retention starts there.
      const retainedFrom = claim.storedAt ?? claim.deadline;
      if (retainedFrom < cutoff) {
        delete this.#state.claims[name];
      }
    }
    for (const [name, custody] of Object.entries(this.#state.custody)) {
      if (custody.at < cutoff) {
        delete this.#state.custody[name];
      }
    }
  }

  /** Returns the custody as last moved, or as encoded in the request ID. */
  custodyOf(request: string): Custody {
    const moved = ownValue(this.#state.custody, request);
    if (moved !== undefined) {
      return moved;
    }
    const { owner, standby } = parseRequestId(request);
    return { request, epoch: 1, owner, standby, at: 0 };
  }

  /** Moves each request to another holder by compare-and-set on its epoch. */
  move(command: CustodyCommand): CustodyReply {
    const outcomes: CustodyOutcome[] = [];
    for (const [index, request] of command.requests.entries()) {
      const expected = command.expectedEpochs[index] ?? 0;
      outcomes.push(this.#moveRequest(command, { request, expected }));
    }
    return { outcomes };
  }

  #grantClaim(command: ClaimCommand, existing: Claim | undefined): ClaimReply {
    // A key whose request was not run can be claimed again for the same body.
    if (existing !== undefined && existing.digest !== command.digest) {
      return { outcome: "conflict", claim: existing };
    }
    const claim: Claim = {
      workspace: command.workspace,
      key: command.key,
      digest: command.digest,
      owner: command.owner,
      attempt: command.attempt,
      state: "claimed",
      claimedAt: command.at,
      deadline: command.deadline,
    };
    this.#state.claims[claimKey(command.workspace, command.key)] = claim;
    return { outcome: "claimed", claim };
  }

  #moveRequest(
    command: CustodyCommand,
    options: { request: string; expected: number },
  ): CustodyOutcome {
    const { request, expected } = options;
    const existing = this.custodyOf(request);
    const { owner, standby, from } = command;
    const isRepeated = existing.epoch === expected + 1 &&
      existing.owner === owner && existing.standby === standby;
    const isHolder = existing.owner === from || existing.standby === from;
    if (isRepeated || existing.epoch !== expected || !isHolder) {
      return { ...toOutcome(existing), moved: isRepeated };
    }
    const next: Custody = {
      request,
      epoch: expected + 1,
      owner,
      standby,
      at: command.at,
    };
    this.#state.custody[request] = next;
    return { ...toOutcome(next), moved: true };
  }
}

function toOutcome(custody: Custody): Omit<CustodyOutcome, "moved"> {
  const { request, epoch, owner, standby } = custody;
  return { request, epoch, owner, standby };
}

/** The length prefix keeps pairs of workspace and key distinct. */
function claimKey(workspace: string, key: string): string {
  return `${workspace.length}:${workspace}:${key}`;
}
