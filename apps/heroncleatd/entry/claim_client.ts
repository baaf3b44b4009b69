import type {
  Claim,
  ClaimCommand,
  ClaimReply,
  ClaimState,
  Outcome,
} from "@heroncleat/schema";
import type { Milliseconds } from "@heroncleat/base";
import type { ControlClient } from "../common/control_client.ts";

/** Reply of a control replica to a proposed command. */
type ProposalReply<Result> =
  | { readonly kind: "done"; readonly result: Result }
  | { readonly kind: "not_leader"; readonly leader: string }
  | { readonly kind: "unknown" };

type FindReply =
  | { readonly kind: "found"; readonly claim: Claim | null }
  | { readonly kind: "not_leader"; readonly leader: string };

const RESOLVE_TIMEOUT_MS = 3000;
const FIND_TIMEOUT_MS = 2000;

/** Client for the ledger's claims of non-idempotent requests. */
export class ClaimClient {
  readonly #control: ControlClient;

  constructor(control: ControlClient) {
    this.#control = control;
  }

  /** Claims a key. Returns `undefined` if no quorum replied in time. */
  async claim(
    command: ClaimCommand,
    timeout: Milliseconds,
  ): Promise<ClaimReply | undefined> {
    const reply = await this.#control.call<ProposalReply<ClaimReply>>(
      "control.propose",
      { parameters: { command, timeout }, timeout },
    );
    return reply.kind === "done" ? reply.result : undefined;
  }

  /** Stores the result of a claim. Returns whether it was committed. */
  async resolve(
    claim: Pick<Claim, "workspace" | "key" | "attempt">,
    result: { state: ClaimState; outcome?: Outcome },
  ): Promise<boolean> {
    const { workspace, key, attempt } = claim;
    const command = {
      kind: "resolve",
      workspace,
      key,
      attempt,
      at: 0,
      ...result,
    };
    const reply = await this.#control.call<ProposalReply<Claim | null>>(
      "control.propose",
      {
        parameters: { command, timeout: RESOLVE_TIMEOUT_MS },
        timeout: RESOLVE_TIMEOUT_MS,
      },
    );
    return reply.kind === "done";
  }

  /**
   * Reads a claim through a quorum. Returns `undefined` if it is missing or no
   * quorum replied.
   */
  async find(workspace: string, key: string): Promise<Claim | undefined> {
    const reply = await this.#control.call<FindReply>("control.find_claim", {
      parameters: { workspace, key },
      timeout: FIND_TIMEOUT_MS,
    });
    return reply.kind === "found" ? reply.claim ?? undefined : undefined;
  }
}
