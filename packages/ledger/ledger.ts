import { parseRequestId } from "@heroncleat/base";
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

/** Version of the persisted form; see `migrate_ledger.ts`. */
const VERSION = 1;

/**
 * The replicated ledger: a state machine over committed commands that says
 * which entry may run a non-idempotent request, and which entries hold an
 * accepted one.
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

  /** The claim of a key, if there is one. */
  find(workspace: string, key: string): Claim | undefined {
    return this.#state.claims[claimName(workspace, key)];
  }

  /** Gives the key to the first claimant; all others learn what became of it. */
  claim(command: ClaimCommand): ClaimReply {
    const present = this.find(command.workspace, command.key);
    if (present === undefined || present.state === "not_run") {
      return this.#grant(command, present);
    }
    if (present.digest !== command.digest) {
      return { outcome: "conflict", claim: present };
    }
    // A claim whose answer was lost is asked for again by the same attempt.
    const outcome = present.attempt === command.attempt ? "claimed" : "exists";
    return { outcome, claim: present };
  }

  /** Stores what became of a claim; only its own attempt may, and once. */
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

  /** Forgets what is past its retention. */
  expire(command: ExpireCommand): void {
    const oldest = command.at - command.retention;
    for (const [name, claim] of Object.entries(this.#state.claims)) {
      // An unresolved claim may still be told about, so its clock starts at
      // the deadline of its claimant.
      const since = claim.storedAt ?? claim.deadline;
      if (since < oldest) {
        delete this.#state.claims[name];
      }
    }
    for (const [name, custody] of Object.entries(this.#state.custody)) {
      if (custody.at < oldest) {
        delete this.#state.custody[name];
      }
    }
  }

  /** Who holds a request: as moved, or as its identifier says. */
  custodyOf(request: string): Custody {
    const moved = this.#state.custody[request];
    if (moved !== undefined) {
      return moved;
    }
    const { owner, standby } = parseRequestId(request);
    return { request, epoch: 1, owner, standby, at: 0 };
  }

  /** Moves requests to another owner or standby, each by compare-and-set. */
  move(command: CustodyCommand): CustodyReply {
    const outcomes: CustodyOutcome[] = [];
    for (const [place, request] of command.requests.entries()) {
      const expected = command.expectedEpochs[place] ?? 0;
      outcomes.push(this.#moveOne(command, { request, expected }));
    }
    return { outcomes };
  }

  #grant(command: ClaimCommand, present: Claim | undefined): ClaimReply {
    // A key that was not run may be tried again, but only for the same body.
    if (present !== undefined && present.digest !== command.digest) {
      return { outcome: "conflict", claim: present };
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
    this.#state.claims[claimName(command.workspace, command.key)] = claim;
    return { outcome: "claimed", claim };
  }

  #moveOne(
    command: CustodyCommand,
    options: { request: string; expected: number },
  ): CustodyOutcome {
    const { request, expected } = options;
    const present = this.custodyOf(request);
    const { owner, standby, from } = command;
    const repeated = present.epoch === expected + 1 &&
      present.owner === owner && present.standby === standby;
    const holds = present.owner === from || present.standby === from;
    if (repeated || present.epoch !== expected || !holds) {
      return { ...describe(present), moved: repeated };
    }
    const next: Custody = {
      request,
      epoch: expected + 1,
      owner,
      standby,
      at: command.at,
    };
    this.#state.custody[request] = next;
    return { ...describe(next), moved: true };
  }
}

function describe(custody: Custody): Omit<CustodyOutcome, "moved"> {
  const { request, epoch, owner, standby } = custody;
  return { request, epoch, owner, standby };
}

/** Length first, so that no workspace and key run into each other. */
function claimName(workspace: string, key: string): string {
  return `${workspace.length}:${workspace}:${key}`;
}
