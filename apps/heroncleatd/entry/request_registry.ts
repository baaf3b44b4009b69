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
import type { OwnOutcome } from "./own_outcome.ts";
import type { RegistryMessage } from "./registry_message.ts";
import { RequestHost } from "./request_host.ts";
import type { RequestMessage } from "./request_message.ts";
import type { RequestServices } from "./request_services.ts";
import { HandOverSender } from "./hand_over_sender.ts";
import { NOT_FOUND } from "./not_found.ts";
import { toRoutedRequest } from "./to_routed_request.ts";

/** What the registry is built from. */
type RegistryOptions = {
  readonly context: EntryContext;
  readonly copies: CopySender;
  readonly dispatch: Actor<DispatchMessage>;
  readonly sendSelf: (message: RegistryMessage) => void;
};

/** A request that this entry owns. */
type OwnedEntry = {
  readonly request: OwnedRequest;
  readonly actor: Actor<RequestMessage>;
  /** Notified once, when the request is held or refused. */
  onOutcome: ((outcome: OwnOutcome) => void) | undefined;
  /** Notified once, when this entry is done with the request. */
  onEnded: () => void;
};

/** Answer to a proposed custody command. */
type CustodyProposal =
  | { readonly kind: "done"; readonly result: CustodyReply }
  | { readonly kind: "not_leader"; readonly leader: string }
  | { readonly kind: "unknown" };

const COPY_TIMEOUT = 400;
const RETRY_PAUSE = 100;
const MOST_ATTEMPTS = 40;
const LEDGER_TIMEOUT = 2000;
const HAND_OVER_TIMEOUT = 2000;
/** What reclaim choices assume of an engine that is not asked. */
const RECLAIM_RATES = {
  decodeInterval: 25,
  transferRate: 20_000,
  prefillRate: 5000,
  reserve: 300,
};

/** Knows every request that this entry owns or holds a copy of. */
export class RequestRegistry {
  readonly #options: RegistryOptions;
  readonly #log: Log;
  readonly #owned = new Map<string, OwnedEntry>();
  readonly #held: StandbyStore;
  readonly #leavingSeen = new Set<string>();
  #members: readonly MemberRecord[] = [];
  readonly #handOvers: HandOverSender;

  constructor(options: RegistryOptions) {
    this.#options = options;
    const { context } = options;
    this.#log = context.log("requests");
    this.#held = new StandbyStore(
      context.name,
      context.entry.answer_retention,
    );
    this.#handOvers = new HandOverSender({
      pool: context.pool,
      timeout: HAND_OVER_TIMEOUT,
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
        this.#startOwn(message);
        return;
      case "copies":
        message.reply(message.copies.map((copy) => this.#takeCopy(copy)));
        return;
      case "query":
        this.#query(message);
        return;
      case "take_over":
        void this.#takeOverHanded(message);
        return;
      case "hand_over":
        this.#handOver();
        return;
      case "count":
        message.reply(this.#count());
        return;
      case "forget":
        this.#forget(message.id);
        return;
      default:
        unreachable(message);
    }
  }

  #now(): Milliseconds {
    return this.#options.context.clock.now();
  }

  #count(): { owned: number; held: number } {
    let owned = 0;
    for (const { request } of this.#owned.values()) {
      owned += request.phase === RequestPhase.ended ? 0 : 1;
    }
    return { owned, held: this.#held.size };
  }

  #startOwn(message: Extract<RegistryMessage, { kind: "own" }>): void {
    const entry = this.#own(message.record, {
      pieces: [],
      finished: false,
      finishReason: "",
      accepted: false,
      now: this.#now(),
    });
    entry.onOutcome = message.reply;
    entry.onEnded = message.onEnded;
    entry.actor.send({ kind: "event", event: { kind: "start" } });
  }

  #own(
    record: RequestRecord,
    start: ConstructorParameters<typeof OwnedRequest>[1]["start"],
  ): OwnedEntry {
    const { context } = this.#options;
    const request = new OwnedRequest(record, {
      settings: {
        self: context.name,
        copyTimeout: COPY_TIMEOUT,
        handOverTimeout: HAND_OVER_TIMEOUT,
        idleTimeout: context.entry.attempt_idle_timeout,
        retryDelay: RETRY_PAUSE,
        maxAttempts: MOST_ATTEMPTS,
        chooseReclaimAction: createReclaimPolicy(RECLAIM_RATES),
      },
      start,
    });
    const host: RequestHost = new RequestHost({
      request,
      context,
      services: this.#services(record),
      sendSelf: (message) => actor.send(message),
    });
    const actor: Actor<RequestMessage> = new Actor(context.system, {
      name: `request-${record.id.replaceAll(/[^A-Za-z0-9_-]/g, "-")}` +
        `-${record.epoch}`,
      log: this.#log,
      handle: (message) => host.handle(message),
    });
    const entry: OwnedEntry = {
      request,
      actor,
      onOutcome: undefined,
      onEnded: () => {},
    };
    this.#owned.set(record.id, entry);
    return entry;
  }

  #services(record: RequestRecord): RequestServices {
    const { context, copies, dispatch } = this.#options;
    const routed = toRoutedRequest(record, context.chainHash);
    return {
      copy: (to, message) => {
        const address = this.#addressOf(to);
        return address === undefined
          ? Promise.reject(new Error(`entry ${to} is not known`))
          : copies.send(address, message);
      },
      chooseStandby: (exclude) =>
        chooseStandby(this.#members, {
          owner: context.name,
          exclude,
          random: Math.random,
        })?.name ?? "",
      moveStandby: (present, options) => this.#moveStandby(present, options),
      handOver: (standby, id) => this.#handOvers.send(standby, id),
      route: (_present, { token, exclude, isRetry }) =>
        new Promise((resolve) => {
          const request = { ...routed, exclude };
          dispatch.send({
            kind: "route",
            request,
            token,
            isRetry,
            reply: resolve,
          });
        }),
      attemptEnded: (upstream, { token, outcome }) => {
        dispatch.send({ kind: "ended", upstream, token, outcome });
      },
      firstToken: (upstream, times) => {
        dispatch.send({ kind: "first_token", upstream, ...times });
      },
      betweenTokens: (upstream, measured) => {
        dispatch.send({ kind: "between_tokens", upstream, measured });
      },
      onAccepted: ({ id }) => {
        context.metrics.increment("requests.accepted");
        this.#settle(id, { kind: "accepted" });
      },
      onEnded: (ended, end) => {
        context.metrics.increment(`requests.${end.kind}`);
        this.#onEnded(ended.id, end);
      },
    };
  }

  #onEnded(
    id: string,
    end: Parameters<RequestServices["onEnded"]>[1],
  ): void {
    const { context, sendSelf } = this.#options;
    if (end.kind === "refused") {
      this.#settle(id, end);
    }
    this.#owned.get(id)?.onEnded();
    if (end.kind === "failed" || end.kind === "fenced") {
      this.#log.warn(`Request ${end.kind}`, { request: id });
    }
    const retained = end.kind === "finished" || end.kind === "failed";
    const after = retained ? context.entry.answer_retention : 0;
    setTimeout(() => sendSelf({ kind: "forget", id }), after).unref();
  }

  #settle(id: string, outcome: OwnOutcome): void {
    const entry = this.#owned.get(id);
    entry?.onOutcome?.(outcome);
    if (entry !== undefined) {
      entry.onOutcome = undefined;
    }
  }

  #forget(id: string): void {
    const entry = this.#owned.get(id);
    if (entry?.request.phase === RequestPhase.ended) {
      this.#owned.delete(id);
      entry.actor.stop();
    }
  }

  #takeCopy(copy: CopyMessage) {
    const owned = this.#owned.get(copy.id);
    // An entry that became the owner takes no more copies of an older epoch.
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
          timeout: LEDGER_TIMEOUT,
        },
        timeout: LEDGER_TIMEOUT,
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

  async #takeOverHanded(
    message: Extract<RegistryMessage, { kind: "take_over" }>,
  ): Promise<void> {
    await this.#takeOver(this.#copiesOf(message.ids));
    message.reply(message.ids.filter((id) => this.#owned.has(id)));
  }

  /** Asks the ledger to make this entry the owner of what it holds. */
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
    let taken = 0;
    for (const outcome of reply.outcomes) {
      const copy = this.#held.finishTakeOver(outcome);
      if (copy !== undefined) {
        taken += 1;
        this.#continue(copy);
      }
    }
    this.#options.context.metrics.increment("requests.taken_over", taken);
    this.#log.info(`Took over ${taken} of ${copies.length} requests`);
  }

  #continue(copy: StandbyCopy): void {
    const now = this.#now();
    const deadline = Math.max(0, copy.deadlineAt - now);
    const entry = this.#own({ ...copy.record, deadline }, {
      pieces: copy.pieces,
      finished: copy.finished,
      finishReason: copy.finishReason,
      accepted: true,
      now,
    });
    entry.actor.send({ kind: "event", event: { kind: "start" } });
  }

  #onUpstream(upstream: UpstreamRecord): void {
    const { announcement } = upstream;
    const key = `${announcement.name} ${announcement.incarnation}`;
    if (announcement.state !== "leaving" || this.#leavingSeen.has(key)) {
      return;
    }
    this.#leavingSeen.add(key);
    this.#log.info(`Upstream ${announcement.name} is leaving`);
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

  #query(message: Extract<RegistryMessage, { kind: "query" }>): void {
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

  #handOver(): void {
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

/** What a standby can say of an answer: what it holds, and no end to come. */
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
