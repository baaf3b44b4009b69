import type { Milliseconds } from "@heroncleat/base";
import { unreachable } from "@heroncleat/base";
import { chooseStandby } from "@heroncleat/membership";
import {
  createReclaimPolicy,
  OwnedRequest,
  RequestPhase,
  type StandbyCopy,
  StandbyStore,
} from "@heroncleat/requests";
import type {
  CopyMessage,
  CustodyReply,
  ForwardedAnswer,
  MemberRecord,
  RequestRecord,
  UpstreamRecord,
} from "@heroncleat/schema";
import { Actor } from "../common/actor.ts";
import type { Log } from "../common/log.ts";
import type { CopySender } from "./copy_sender.ts";
import type { DispatchMessage } from "./dispatch_message.ts";
import type { EntryContext } from "./entry_context.ts";
import { HandOverSender } from "./hand_over_sender.ts";
import { NOT_FOUND } from "./not_found.ts";
import type { OwnershipOutcome } from "./ownership_outcome.ts";
import type { RegistryMessage } from "./registry_message.ts";
import type { RequestMessage } from "./request_message.ts";
import { RequestRunner } from "./request_runner.ts";
import type { RequestServices } from "./request_services.ts";
import { toRoutedRequest } from "./to_routed_request.ts";

type RegistryOptions = {
  readonly context: EntryContext;
  readonly copies: CopySender;
  readonly dispatch: Actor<DispatchMessage>;
  readonly sendSelf: (message: RegistryMessage) => void;
};

/** A request that this entry owns, with its actor and callbacks. */
type OwnedRequestState = {
  readonly request: OwnedRequest;
  readonly actor: Actor<RequestMessage>;
  /** Called once, when the request is accepted or refused. */
  onOutcome: ((outcome: OwnershipOutcome) => void) | undefined;
  /** Called once, when this entry no longer runs the request. */
  onEnded: () => void;
};

/** Reply of a control replica to a proposed custody command. */
type CustodyProposal =
  | { readonly kind: "done"; readonly result: CustodyReply }
  | { readonly kind: "not_leader"; readonly leader: string }
  | { readonly kind: "unknown" };

const COPY_TIMEOUT_MS = 400;
const RETRY_DELAY_MS = 100;
const MAX_ATTEMPTS = 40;
const LEDGER_TIMEOUT_MS = 2000;
const HAND_OVER_TIMEOUT_MS = 2000;
/**
 * Assumptions for choosing reclaim actions; engines aren't queried for them.
 */
const RECLAIM_ESTIMATES = {
  decodeInterval: 25,
  transferRate: 20_000,
  prefillRate: 5000,
  reserve: 300,
};

/** Tracks every request that this entry owns or holds a copy of. */
export class RequestRegistry {
  readonly #options: RegistryOptions;
  readonly #log: Log;
  readonly #owned = new Map<string, OwnedRequestState>();
  readonly #held: StandbyStore;
  readonly #seenDepartures = new Set<string>();
  #members: readonly MemberRecord[] = [];
  readonly #handOverSender: HandOverSender;

  constructor(options: RegistryOptions) {
    this.#options = options;
    const { context } = options;
    this.#log = context.log("requests");
    this.#held = new StandbyStore(
      context.name,
      context.entry.answer_retention,
    );
    this.#handOverSender = new HandOverSender({
      pool: context.pool,
      timeout: HAND_OVER_TIMEOUT_MS,
      addressOf: (name) => this.#addressOf(name),
    });
  }

  handle(message: RegistryMessage): void {
    switch (message.kind) {
      case "tick":
        this.#held.expire(this.#now());
        this.#takeOverFromDead();
        return;
      case "members":
        this.#members = message.members;
        this.#takeOverFromDead();
        return;
      case "upstream":
        this.#onUpstream(message.upstream);
        return;
      case "own":
        this.#acceptRequest(message);
        return;
      case "copies":
        message.reply(message.copies.map((copy) => this.#applyCopy(copy)));
        return;
      case "query":
        this.#handleQuery(message);
        return;
      case "take_over":
        void this.#handleTakeOver(message);
        return;
      case "hand_over":
        this.#handOverAll();
        return;
      case "count":
        message.reply(this.#countRequests());
        return;
      case "forget":
        this.#removeEnded(message.id);
        return;
      default:
        unreachable(message);
    }
  }

  #now(): Milliseconds {
    return this.#options.context.clock.now();
  }

  #countRequests(): { owned: number; held: number } {
    let owned = 0;
    for (const { request } of this.#owned.values()) {
      owned += request.phase === RequestPhase.ended ? 0 : 1;
    }
    return { owned, held: this.#held.size };
  }

  #acceptRequest(message: Extract<RegistryMessage, { kind: "own" }>): void {
    const ownedState = this.#addOwned(message.record, {
      pieces: [],
      finished: false,
      finishReason: "",
      accepted: false,
      now: this.#now(),
    });
    ownedState.onOutcome = message.reply;
    ownedState.onEnded = message.onEnded;
    ownedState.actor.send({ kind: "event", event: { kind: "start" } });
  }

  #addOwned(
    record: RequestRecord,
    start: ConstructorParameters<typeof OwnedRequest>[1]["start"],
  ): OwnedRequestState {
    const { context } = this.#options;
    const request = new OwnedRequest(record, {
      settings: {
        self: context.name,
        copyTimeout: COPY_TIMEOUT_MS,
        handOverTimeout: HAND_OVER_TIMEOUT_MS,
        idleTimeout: context.entry.attempt_idle_timeout,
        retryDelay: RETRY_DELAY_MS,
        maxAttempts: MAX_ATTEMPTS,
        chooseReclaimAction: createReclaimPolicy(RECLAIM_ESTIMATES),
      },
      start,
    });
    const runner: RequestRunner = new RequestRunner({
      request,
      context,
      services: this.#createServices(record),
      sendSelf: (message) => actor.send(message),
    });
    const actor: Actor<RequestMessage> = new Actor(context.system, {
      name: `request-${record.id.replaceAll(/[^A-Za-z0-9_-]/g, "-")}` +
        `-${record.epoch}`,
      log: this.#log,
      handle: (message) => runner.handle(message),
    });
    const ownedState: OwnedRequestState = {
      request,
      actor,
      onOutcome: undefined,
      onEnded: () => {},
    };
    this.#owned.set(record.id, ownedState);
    return ownedState;
  }

  #createServices(record: RequestRecord): RequestServices {
    const { context, copies, dispatch } = this.#options;
    const routedRequest = toRoutedRequest(record, context.chainHash);
    return {
      sendCopy: (to, message) => {
        const address = this.#addressOf(to);
        return address === undefined
          ? Promise.reject(new Error(`entry ${to} is not a known member`))
          : copies.send(address, message);
      },
      chooseStandby: (exclude) =>
        chooseStandby(this.#members, {
          owner: context.name,
          exclude,
          random: Math.random,
        })?.name ?? "",
      moveStandby: (currentRecord, options) =>
        this.#moveStandby(currentRecord, options),
      handOver: (standby, id) => this.#handOverSender.send(standby, id),
      route: (_record, { token, exclude, isRetry, isContinued }) =>
        new Promise((resolve) => {
          const request = { ...routedRequest, exclude, isContinued };
          dispatch.send({
            kind: "route",
            request,
            token,
            isRetry,
            reply: resolve,
          });
        }),
      recordAttempt: (upstream, { token, outcome }) => {
        dispatch.send({ kind: "ended", upstream, token, outcome });
      },
      recordFirstToken: (upstream, times) => {
        dispatch.send({ kind: "first_token", upstream, ...times });
      },
      recordTokenInterval: (upstream, measured) => {
        dispatch.send({ kind: "between_tokens", upstream, measured });
      },
      onAccepted: ({ id }) => {
        context.metrics.increment("requests.accepted");
        this.#reportOutcome(id, { kind: "accepted" });
      },
      onEnded: (endedRecord, end) => {
        context.metrics.increment(`requests.${end.kind}`);
        this.#onEnded(endedRecord.id, end);
      },
    };
  }

  #onEnded(
    id: string,
    end: Parameters<RequestServices["onEnded"]>[1],
  ): void {
    const { context, sendSelf } = this.#options;
    if (end.kind === "refused") {
      this.#reportOutcome(id, end);
    }
    this.#owned.get(id)?.onEnded();
    if (end.kind === "failed" || end.kind === "fenced") {
      this.#log.warn(`Request ${end.kind}`, { request: id });
    }
    const isRetained = end.kind === "finished" || end.kind === "failed";
    const delay = isRetained ? context.entry.answer_retention : 0;
    setTimeout(() => sendSelf({ kind: "forget", id }), delay).unref();
  }

  #reportOutcome(id: string, outcome: OwnershipOutcome): void {
    const ownedState = this.#owned.get(id);
    ownedState?.onOutcome?.(outcome);
    if (ownedState !== undefined) {
      ownedState.onOutcome = undefined;
    }
  }

  #removeEnded(id: string): void {
    const ownedState = this.#owned.get(id);
    if (ownedState?.request.phase === RequestPhase.ended) {
      this.#owned.delete(id);
      ownedState.actor.stop();
    }
  }

  #applyCopy(copy: CopyMessage) {
    const owned = this.#owned.get(copy.id);
    // An entry that became the owner rejects copies of its own or older epochs.
    if (owned !== undefined && owned.request.record.epoch >= copy.epoch) {
      const { epoch } = owned.request.record;
      return { outcome: "fenced" as const, epoch, pieces: 0 };
    }
    if (owned !== undefined && owned.request.phase !== RequestPhase.ended) {
      const owner = copy.record?.owner ?? "";
      const event = { kind: "custody_lost" as const, owner };
      owned.actor.send({ kind: "event", event });
    }
    return this.#held.applyCopy(copy, this.#now());
  }

  async #moveStandby(
    record: RequestRecord,
    options: { expectedEpoch: number; standby: string },
  ): Promise<CustodyReply | undefined> {
    const self = this.#options.context.name;
    return await this.#proposeCustody({
      requests: [record.id],
      expectedEpochs: [options.expectedEpoch],
      owner: self,
      standby: options.standby,
      from: self,
    });
  }

  async #proposeCustody(command: {
    requests: string[];
    expectedEpochs: number[];
    owner: string;
    standby: string;
    from: string;
  }): Promise<CustodyReply | undefined> {
    const reply = await this.#options.context.control.call<CustodyProposal>(
      "control.propose",
      {
        parameters: {
          command: { kind: "custody", at: 0, ...command },
          timeout: LEDGER_TIMEOUT_MS,
        },
        timeout: LEDGER_TIMEOUT_MS,
      },
    );
    return reply.kind === "done" ? reply.result : undefined;
  }

  #takeOverFromDead(): void {
    for (const member of this.#members) {
      if (member.state === "dead") {
        void this.#takeOver(this.#held.unfinishedCopiesOf(member.name));
      }
    }
  }

  #copiesOf(ids: readonly string[]): StandbyCopy[] {
    const copies: StandbyCopy[] = [];
    for (const id of ids) {
      const copy = this.#held.get(id);
      if (copy !== undefined && !copy.finished) {
        copies.push(copy);
      }
    }
    return copies;
  }

  async #handleTakeOver(
    message: Extract<RegistryMessage, { kind: "take_over" }>,
  ): Promise<void> {
    await this.#takeOver(this.#copiesOf(message.ids));
    message.reply(message.ids.filter((id) => this.#owned.has(id)));
  }

  /** Asks the ledger to make this entry the owner of the given requests. */
  async #takeOver(held: readonly StandbyCopy[]): Promise<void> {
    const copies = held.filter((copy) => !copy.isTakingOver);
    if (copies.length === 0) {
      return;
    }
    this.#held.startTakeOver(copies);
    const self = this.#options.context.name;
    const reply = await this.#proposeCustody({
      requests: copies.map((copy) => copy.record.id),
      expectedEpochs: copies.map((copy) => copy.record.epoch),
      owner: self,
      standby: "",
      from: self,
    });
    this.#finishTakeOver(copies, reply);
  }

  #finishTakeOver(
    copies: readonly StandbyCopy[],
    reply: CustodyReply | undefined,
  ): void {
    if (reply === undefined) {
      this.#held.cancelTakeOver(copies);
      return;
    }
    let takenOverCount = 0;
    for (const outcome of reply.outcomes) {
      const copy = this.#held.finishTakeOver(outcome);
      if (copy !== undefined) {
        takenOverCount += 1;
        this.#resume(copy);
      }
    }
    this.#options.context.metrics.increment(
      "requests.taken_over",
      takenOverCount,
    );
    this.#log.info(`Took over ${takenOverCount} of ${copies.length} requests`);
  }

  #resume(copy: StandbyCopy): void {
    const now = this.#now();
    const deadline = Math.max(0, copy.deadlineAt - now);
    const ownedState = this.#addOwned({ ...copy.record, deadline }, {
      pieces: copy.pieces,
      finished: copy.finished,
      finishReason: copy.finishReason,
      accepted: true,
      now,
    });
    ownedState.actor.send({ kind: "event", event: { kind: "start" } });
  }

  #onUpstream(upstream: UpstreamRecord): void {
    const { announcement } = upstream;
    const key = `${announcement.name} ${announcement.incarnation}`;
    if (announcement.state !== "leaving" || this.#seenDepartures.has(key)) {
      return;
    }
    this.#seenDepartures.add(key);
    this.#log.info(`Upstream ${announcement.name} is departing`);
    const reclaimIn = Math.max(
      0,
      (announcement.reclaimIn ?? 0) - upstream.age,
    );
    for (const { request, actor } of this.#owned.values()) {
      if (request.phase !== RequestPhase.ended) {
        const event = {
          kind: "upstream_leaving" as const,
          upstream: announcement.name,
          reclaimIn,
        };
        actor.send({ kind: "event", event });
      }
    }
  }

  #handleQuery(message: Extract<RegistryMessage, { kind: "query" }>): void {
    const { query, reply } = message;
    const owned = this.#owned.get(query.id);
    const record = owned?.request.record ?? this.#held.get(query.id)?.record;
    if (record === undefined) {
      reply(NOT_FOUND);
      return;
    }
    if (record.workspace !== query.workspace) {
      reply({ ...NOT_FOUND, denied: true });
      return;
    }
    if (owned !== undefined) {
      message.onOwner(owned.actor);
      const { from, wait } = query;
      if (!owned.actor.send({ kind: "read", from, wait, reply })) {
        reply(NOT_FOUND);
      }
      return;
    }
    reply(readCopy(this.#held.get(query.id)!, query.from));
  }

  #handOverAll(): void {
    for (const { request, actor } of this.#owned.values()) {
      if (request.phase !== RequestPhase.ended) {
        actor.send({ kind: "event", event: { kind: "hand_over" } });
      }
    }
  }

  #addressOf(name: string): string | undefined {
    return this.#members.find((member) => member.name === name)?.address;
  }
}

/** Builds a standby's reply: only a finished copy counts as found. */
function readCopy(copy: StandbyCopy, from: number): ForwardedAnswer {
  return {
    found: copy.finished,
    denied: false,
    upstream: "",
    record: copy.record,
    pieces: copy.finished ? copy.pieces.slice(from) : [],
    finished: copy.finished,
    finishReason: copy.finishReason,
  };
}
