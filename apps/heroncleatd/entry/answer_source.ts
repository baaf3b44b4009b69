import { parseRequestId } from "@heroncleat/base";
import type { Milliseconds } from "@heroncleat/base";
import type {
  AnswerQuery,
  Custody,
  ForwardedAnswer,
  MemberRecord,
} from "@heroncleat/schema";
import type { Actor } from "../common/actor.ts";
import type { EntryContext } from "./entry_context.ts";
import { NOT_FOUND } from "./not_found.ts";
import type { RegistryMessage } from "./registry_message.ts";

/** Longest wait of one read. */
const READ_WAIT = 2000;
const CALL_MARGIN = 500;
const RETRY_PAUSE = 100;
const CUSTODY_TIMEOUT = 1500;

/** Answer of a replica about custody. */
type CustodyReply =
  | { readonly kind: "found"; readonly custody: Custody }
  | { readonly kind: "not_leader"; readonly leader: string };

/** What reads need to find the entries that hold a request. */
type AnswerSourceOptions = {
  readonly context: EntryContext;
  readonly registry: Actor<RegistryMessage>;
  readonly members: () => readonly MemberRecord[];
};

/**
 * Reads an answer piece by piece wherever it is held: here, at the owner or
 * standby that its identifier names, or where the ledger says it moved.
 */
export class AnswerSource {
  readonly #options: AnswerSourceOptions;

  constructor(options: AnswerSourceOptions) {
    this.#options = options;
  }

  /**
   * The pieces from an index on, after a wait for news. Not found means that
   * nobody holds the answer for this workspace.
   */
  async read(
    query: Omit<AnswerQuery, "wait">,
    until: Milliseconds,
  ): Promise<ForwardedAnswer> {
    let answer = NOT_FOUND;
    let asked = false;
    while (!answer.found && (!asked || this.#now() < until)) {
      const wait = Math.max(0, Math.min(READ_WAIT, until - this.#now()));
      answer = await this.#readOnce({ ...query, wait });
      asked = true;
      if (!answer.found && !await this.#mayStillExist(query.id)) {
        return NOT_FOUND;
      }
      if (!answer.found) {
        await new Promise((resolve) => setTimeout(resolve, RETRY_PAUSE));
      }
    }
    return answer;
  }

  #now(): Milliseconds {
    return this.#options.context.clock.now();
  }

  async #readOnce(query: AnswerQuery): Promise<ForwardedAnswer> {
    const { name } = this.#options.context;
    const local = await this.#readHere(query);
    if (local.found) {
      return local;
    }
    const { owner, standby } = parseRequestId(query.id);
    for (const holder of [owner, standby]) {
      if (holder === name || holder === "") {
        continue;
      }
      const answer = await this.#readAt(holder, query);
      if (answer.found) {
        return answer;
      }
    }
    const moved = await this.#findOwner(query.id);
    const elsewhere = moved !== undefined && moved !== name &&
      moved !== owner && moved !== standby;
    return elsewhere ? await this.#readAt(moved, query) : NOT_FOUND;
  }

  #readHere(query: AnswerQuery): Promise<ForwardedAnswer> {
    return new Promise((resolve) => {
      const sent = this.#options.registry.tell({
        kind: "query",
        query,
        reply: resolve,
      });
      if (!sent) {
        resolve(NOT_FOUND);
      }
    });
  }

  async #readAt(
    holder: string,
    query: AnswerQuery,
  ): Promise<ForwardedAnswer> {
    const member = this.#options.members().find((known) =>
      known.name === holder
    );
    if (member === undefined || member.state === "dead") {
      return NOT_FOUND;
    }
    try {
      return await this.#options.context.pool.call(
        member.address,
        "entry.query",
        { parameters: query, timeout: query.wait + CALL_MARGIN },
      ) as ForwardedAnswer;
    } catch {
      return NOT_FOUND;
    }
  }

  async #findOwner(id: string): Promise<string | undefined> {
    const reply = await this.#options.context.control.call<CustodyReply>(
      "control.find_custody",
      { parameters: { request: id }, timeout: CUSTODY_TIMEOUT },
    );
    return reply.kind === "found" ? reply.custody.owner : undefined;
  }

  /** A takeover takes a moment, in which nobody answers for the request. */
  async #mayStillExist(id: string): Promise<boolean> {
    const { owner, standby } = parseRequestId(id);
    const members = this.#options.members();
    const known = (name: string) =>
      members.some((member) => member.name === name);
    return known(owner) && known(standby);
  }
}
