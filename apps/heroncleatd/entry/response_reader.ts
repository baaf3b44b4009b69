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
import type { RequestMessage } from "./request_message.ts";

const MAX_READ_WAIT_MS = 2000;
const CALL_MARGIN_MS = 500;
const RETRY_DELAY_MS = 100;
const CUSTODY_TIMEOUT_MS = 1500;
/** Covers failure detection of the owner and the takeover by its standby. */
const MAX_TAKEOVER_WAIT_MS = 8000;

/** Reply of a control replica to a custody lookup. */
type CustodyReply =
  | { readonly kind: "found"; readonly custody: Custody }
  | { readonly kind: "not_leader"; readonly leader: string };

type ResponseReaderOptions = {
  readonly context: EntryContext;
  readonly registry: Actor<RegistryMessage>;
  readonly members: () => readonly MemberRecord[];
};

/**
 * Reads a response chunk by chunk from the entry that holds it: this one, the
 * owner or standby named in the request ID, or the holders recorded in the
 * ledger.
 */
export class ResponseReader {
  readonly #options: ResponseReaderOptions;
  /**
   * Local request actors that callers are reading from, by workspace and
   * request ID.
   */
  readonly #requestActors = new Map<string, Actor<RequestMessage>>();

  constructor(options: ResponseReaderOptions) {
    this.#options = options;
  }

  /**
   * Returns the chunks from an index on, waiting for new ones if there are
   * none. The reply is `NOT_FOUND` if no entry holds the response for this
   * workspace.
   */
  async read(
    query: Omit<AnswerQuery, "wait">,
    deadlineAt: Milliseconds,
  ): Promise<ForwardedAnswer> {
    const startedAt = this.#now();
    while (true) {
      const wait = Math.max(
        0,
        Math.min(MAX_READ_WAIT_MS, deadlineAt - this.#now()),
      );
      const reply = await this.#readOnce({ ...query, wait });
      if (reply.found || reply.denied) {
        return reply;
      }
      // During a takeover no entry replies for the request.
      const waited = this.#now() - startedAt;
      if (waited >= MAX_TAKEOVER_WAIT_MS || this.#now() >= deadlineAt) {
        return NOT_FOUND;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_DELAY_MS));
    }
  }

  #now(): Milliseconds {
    return this.#options.context.clock.now();
  }

  async #readOnce(query: AnswerQuery): Promise<ForwardedAnswer> {
    const localReply = await this.#readLocal(query);
    if (localReply.found || localReply.denied) {
      return localReply;
    }
    const { owner, standby } = parseRequestId(query.id);
    const namedReply = await this.#readFirstFound([owner, standby], query);
    if (namedReply.found || namedReply.denied) {
      return namedReply;
    }
    const currentHolders = await this.#findHolders(query.id);
    const others = currentHolders.filter((holder) =>
      holder !== owner && holder !== standby
    );
    return await this.#readFirstFound(others, query);
  }

  /**
   * Returns the first positive reply among the holders, skipping this entry.
   */
  async #readFirstFound(
    holders: readonly string[],
    query: AnswerQuery,
  ): Promise<ForwardedAnswer> {
    for (const holder of holders) {
      if (holder === this.#options.context.name || holder === "") {
        continue;
      }
      const reply = await this.#readFrom(holder, query);
      if (reply.found || reply.denied) {
        return reply;
      }
    }
    return NOT_FOUND;
  }

  /**
   * Reads from the cached request actor, or through the registry if none is
   * cached.
   */
  async #readLocal(query: AnswerQuery): Promise<ForwardedAnswer> {
    // The registry checks the workspace before it passes the actor on, so the
    // cache key includes the workspace.
    const readerKey =
      `${query.workspace.length}:${query.workspace}:${query.id}`;
    const reply = await new Promise<ForwardedAnswer>((resolve) => {
      const { from, wait } = query;
      const requestActor = this.#requestActors.get(readerKey);
      const message = { kind: "read" as const, from, wait, reply: resolve };
      if (requestActor?.send(message)) {
        return;
      }
      const sent = this.#options.registry.send({
        kind: "query",
        query,
        onOwner: (actor) => this.#requestActors.set(readerKey, actor),
        reply: resolve,
      });
      if (!sent) {
        resolve(NOT_FOUND);
      }
    });
    if (!reply.found || reply.finished) {
      this.#requestActors.delete(readerKey);
    }
    return reply;
  }

  async #readFrom(
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
        { parameters: query, timeout: query.wait + CALL_MARGIN_MS },
      ) as ForwardedAnswer;
    } catch {
      return NOT_FOUND;
    }
  }

  /** Looks up the request's owner and standby in the ledger. */
  async #findHolders(id: string): Promise<string[]> {
    const reply = await this.#options.context.control.call<CustodyReply>(
      "control.find_custody",
      { parameters: { request: id }, timeout: CUSTODY_TIMEOUT_MS },
    );
    return reply.kind === "found"
      ? [reply.custody.owner, reply.custody.standby]
      : [];
  }
}
