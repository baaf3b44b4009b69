import type { Milliseconds } from "@heroncleat/base";
import type { ProposalOutcome } from "./proposal_outcome.ts";

/** Who waits for the outcome of a proposal. */
type Proposer = {
  readonly deadline: Milliseconds;
  readonly reply: (outcome: ProposalOutcome) => void;
};

type PendingProposal = {
  readonly command: unknown;
  /** Term in which it was appended. */
  readonly term: number;
  proposers: Proposer[];
};

/**
 * Proposals whose entries aren't committed yet, by token. A command that is
 * proposed again meanwhile waits for the same entry: a large one may take
 * longer to commit than its proposers wait.
 */
export class PendingProposals {
  readonly #pending = new Map<string, PendingProposal>();
  readonly #isRepetition: (earlier: unknown, later: unknown) => boolean;

  /** @param isRepetition Whether two commands need only be applied once. */
  constructor(isRepetition: (earlier: unknown, later: unknown) => boolean) {
    this.#isRepetition = isRepetition;
  }

  add(
    token: string,
    { command, term, ...proposer }: Proposer & {
      command: unknown;
      term: number;
    },
  ): void {
    this.#pending.set(token, { command, term, proposers: [proposer] });
  }

  /**
   * Lets a proposer wait for an entry of the same command.
   *
   * @param term The term that this replica leads; entries of earlier ones may
   *     have been dropped.
   * @returns Whether there is such an entry.
   */
  join(
    command: unknown,
    { term, ...proposer }: Proposer & { term: number },
  ): boolean {
    for (const pending of this.#pending.values()) {
      if (
        pending.term === term && this.#isRepetition(pending.command, command)
      ) {
        pending.proposers.push(proposer);
        return true;
      }
    }
    return false;
  }

  settle(token: string, outcome: ProposalOutcome): void {
    const pending = this.#pending.get(token);
    this.#pending.delete(token);
    for (const { reply } of pending?.proposers ?? []) {
      reply(outcome);
    }
  }

  /**
   * Replies to those who have waited until their deadline. What is in the log of
   * the current term is kept, so that others can join it.
   */
  expire(now: Milliseconds, term: number): void {
    for (const [token, pending] of this.#pending) {
      const { proposers } = pending;
      pending.proposers = proposers.filter(({ deadline }) => now < deadline);
      for (const { deadline, reply } of proposers) {
        if (now >= deadline) {
          reply({ kind: "unknown" });
        }
      }
      if (pending.proposers.length === 0 && pending.term !== term) {
        this.#pending.delete(token);
      }
    }
  }
}
