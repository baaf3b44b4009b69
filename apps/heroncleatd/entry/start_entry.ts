import { Agent as HttpAgent } from "node:http";
import { type Milliseconds, splitList } from "@heroncleat/base";
import {
  checkAnswerQuery,
  checkCopyMessage,
  type MemberRecord,
} from "@heroncleat/schema";
import {
  RateLimitRegistry,
  RevisionCounter,
  SendPermits,
  UpstreamStatements,
} from "@heroncleat/serving";
import { Actor } from "../common/actor.ts";
import { ControlClient } from "../common/control_client.ts";
import { BodyMemory } from "../common/body_memory.ts";
import type { KeyRing } from "../common/key_ring.ts";
import { StatementWatcher } from "../common/statement_watcher.ts";
import { RateLimitWatcher } from "../common/rate_limit_watcher.ts";
import type { ProcessContext } from "../common/process_context.ts";
import type { RunningRole } from "../common/running_role.ts";
import { CallerServer } from "./caller_server.ts";
import { ConfigurationLease } from "./configuration_lease.ts";
import { ConfigurationRenewer } from "./configuration_renewer.ts";
import { CopySender } from "./copy_sender.ts";
import { createChainHash } from "./create_chain_hash.ts";
import type { DispatchMessage } from "./dispatch_message.ts";
import type { EntryContext } from "./entry_context.ts";
import type { EntryParts } from "./entry_parts.ts";
import type { RegistryMessage } from "./registry_message.ts";
import { RequestDispatcher } from "./request_dispatcher.ts";
import { RequestRegistry } from "./request_registry.ts";
import { ResponseReader } from "./response_reader.ts";
import { startMembership } from "./start_membership.ts";
import { SuspectSync } from "./suspect_sync.ts";

/** Idle time after which a connection to an upstream is closed. */
const IDLE_TIMEOUT_MS = 4000;
/** Header in which upstreams state how many requests a second they accept. */
const RATE_LIMIT_HEADER = "heroncleat-rate-limit";
/** Its value is `1` in the responses of an upstream that leaves. */
const LEAVING_HEADER = "heroncleat-leaving";
const DISPATCH_TICK_MS = 20;
const REGISTRY_TICK_MS = 500;
const EXPIRE_INTERVAL_MS = 5000;
const COPY_CALL_TIMEOUT_MS = 350;
const SHUTDOWN_POLL_INTERVAL_MS = 20;
/** Part of the shutdown time limit that is reserved for the handover. */
const HAND_OVER_RESERVE_MS = 2500;
const SHUTDOWN_GRACE_MS = 100;

export async function startEntry(
  context: ProcessContext,
  callers: KeyRing,
): Promise<RunningRole> {
  const suspectSync = new SuspectSync(context);
  return new EntryRole(
    await createContext(context, callers, suspectSync),
    suspectSync,
  );
}

async function createContext(
  context: ProcessContext,
  callers: KeyRing,
  suspectSync: SuspectSync,
): Promise<EntryContext> {
  const entry = context.settings.entry!;
  const { daemon } = context.settings;
  const { clock } = context;
  const limits = new RateLimitRegistry(new RevisionCounter());
  const trueTime = (monotonic: Milliseconds) =>
    clock.wall() - clock.steady() + monotonic;
  const permits = new SendPermits({ limits, entry: daemon.name, trueTime });
  // No replica issues permits to these entries.
  permits.recordIsolation(clock.steady());
  const statements = new UpstreamStatements(Math.random);
  const rateLimits = new RateLimitWatcher({
    registry: limits,
    header: RATE_LIMIT_HEADER,
    clock,
    trueTime,
    log: context.log("rate_limits"),
    metrics: context.metrics,
    // Every entry learns limits from responses of its own.
    report: () => {},
  });
  return {
    ...context,
    statements,
    statementWatcher: new StatementWatcher({
      statements,
      rateLimits,
      leavingHeader: LEAVING_HEADER,
      clock,
      log: context.log("statements"),
      metrics: context.metrics,
      // Read from the statements wherever something is sent.
      onLeaving: () => {},
    }),
    permits,
    entry,
    name: daemon.name,
    zone: daemon.zone,
    control: new ControlClient(rotateRandomly(splitList(entry.control)), {
      pool: context.pool,
      now: () => context.clock.now(),
    }),
    lease: new ConfigurationLease(context.clock),
    callers,
    crashes: suspectSync.watcher,
    instanceIdOf: (upstream) => suspectSync.instanceIdOf(upstream),
    isDepartingUpstream: (upstream) =>
      suspectSync.isDeparting(upstream) ||
      statements.isLeaving(suspectSync.instanceIdOf(upstream)),
    reclaimedAt: (upstream) => suspectSync.reclaimedAt(upstream),
    chainHash: await createChainHash(),
    services: createAgent(),
    upstreams: createAgent(),
    bodies: new BodyMemory(clock, {
      memoryLimit: entry.memory_limit,
    }),
  };
}

function createAgent(): HttpAgent {
  return new HttpAgent({
    keepAlive: true,
    scheduling: "lifo",
    timeout: IDLE_TIMEOUT_MS,
  });
}

/** Rotates the replicas at random, so that the entries' reads are spread. */
function rotateRandomly(addresses: readonly string[]): string[] {
  const offset = Math.floor(Math.random() * addresses.length);
  return [...addresses.slice(offset), ...addresses.slice(0, offset)];
}

class EntryRole implements RunningRole {
  readonly #context: EntryContext;
  readonly #suspectSync: SuspectSync;
  readonly #parts: EntryParts;
  readonly #server: CallerServer;
  readonly #renewer: ConfigurationRenewer;
  readonly #stopMembership: () => void;
  readonly #timers: NodeJS.Timeout[] = [];
  #members: readonly MemberRecord[] = [];
  #isSynchronized = false;
  #isShuttingDown = false;

  constructor(context: EntryContext, suspectSync: SuspectSync) {
    this.#context = context;
    this.#suspectSync = suspectSync;
    const dispatch = this.#startDispatch();
    const registry = this.#startRegistry(dispatch);
    const membership = this.#startMembership(dispatch, registry);
    this.#stopMembership = membership.stop;
    const members = () => this.#members;
    this.#parts = {
      context,
      membership: membership.actor,
      dispatch,
      registry,
      responses: new ResponseReader({ context, registry, members }),
      members,
      isSynchronized: () => this.#isSynchronized,
      isShuttingDown: () => this.#isShuttingDown,
    };
    this.#server = new CallerServer(this.#parts);
    this.#renewer = new ConfigurationRenewer(context, (view, confirmedAt) => {
      dispatch.send({ kind: "configuration", view, confirmedAt });
      membership.actor.send({
        kind: "event",
        event: { kind: "revision", revision: view.revision },
      });
    });
  }

  async start(): Promise<void> {
    const { dispatch, registry } = this.#parts;
    this.#timers.push(
      setInterval(() => dispatch.send({ kind: "tick" }), DISPATCH_TICK_MS),
      setInterval(() => registry.send({ kind: "tick" }), REGISTRY_TICK_MS),
      setInterval(() => this.#expire(), EXPIRE_INTERVAL_MS),
    );
    this.#renewer.start();
    await this.#server.listen();
    this.#context.log("entry").info(
      `Serving callers on ${this.#context.entry.caller_address}`,
    );
  }

  async stop(limit: number): Promise<void> {
    const log = this.#context.log("entry");
    log.info("Shutting down; new requests are refused");
    this.#isShuttingDown = true;
    const { membership } = this.#parts;
    membership.send({ kind: "event", event: { kind: "leave" } });
    await sleep(SHUTDOWN_GRACE_MS);
    this.#server.stopListening();
    const deadline = Date.now() + limit - HAND_OVER_RESERVE_MS;
    await this.#finishRequests(limit - HAND_OVER_RESERVE_MS);
    await this.#handOver();
    await this.#finishResponses(deadline);
    await this.#waitForFlush();
    this.#renewer.stop();
    this.#stopMembership();
    for (const timer of this.#timers) {
      clearInterval(timer);
    }
    this.#server.close();
    this.#context.services.destroy();
    this.#context.upstreams.destroy();
  }

  #expire(): void {
    const { clock, permits, statementWatcher } = this.#context;
    this.#suspectSync.expire();
    const isGone = (upstream: string) => !this.#suspectSync.isRunning(upstream);
    statementWatcher.expire(isGone);
    permits.removeWhere(isGone, clock.steady());
  }

  #startDispatch(): Actor<DispatchMessage> {
    const dispatcher = new RequestDispatcher(this.#context);
    return new Actor(this.#context.system, {
      name: "dispatch",
      log: this.#context.log("dispatch"),
      handle: (message) => dispatcher.handle(message),
    });
  }

  #startRegistry(dispatch: Actor<DispatchMessage>): Actor<RegistryMessage> {
    const context = this.#context;
    const registry: RequestRegistry = new RequestRegistry({
      context,
      copies: new CopySender(context.pool, COPY_CALL_TIMEOUT_MS),
      dispatch,
      sendSelf: (message) => actor.send(message),
    });
    const actor: Actor<RegistryMessage> = new Actor(context.system, {
      name: "registry",
      log: context.log("requests"),
      handle: (message) => registry.handle(message),
    });
    this.#serveRequests(actor);
    return actor;
  }

  #serveRequests(registry: Actor<RegistryMessage>): void {
    this.#context.serve({
      "entry.copies": (parameters) =>
        new Promise((resolve, reject) => {
          const { copies } = parameters as { copies: unknown[] };
          if (!copies.every((copy) => checkCopyMessage(copy))) {
            reject(new Error("a copy message is malformed"));
            return;
          }
          registry.send({ kind: "copies", copies, reply: resolve });
        }),
      "entry.query": (parameters) =>
        new Promise((resolve, reject) => {
          const query = parameters;
          if (!checkAnswerQuery(query)) {
            reject(new Error("the query is malformed"));
            return;
          }
          const onOwner = () => {};
          registry.send({ kind: "query", query, onOwner, reply: resolve });
        }),
      "entry.take_over": (parameters) =>
        new Promise((resolve) => {
          const { ids } = parameters as { ids: string[] };
          registry.send({ kind: "take_over", ids, reply: resolve });
        }),
    });
  }

  #startMembership(
    dispatch: Actor<DispatchMessage>,
    registry: Actor<RegistryMessage>,
  ) {
    return startMembership(this.#context, {
      onMembers: (members) => {
        this.#members = members;
        this.#suspectSync.updateMembers(members);
        registry.send({ kind: "members", members });
        const alive = members.filter((member) => member.state === "alive");
        dispatch.send({
          kind: "entries",
          alive: alive.map(({ name }) => name),
        });
      },
      onUpstream: (upstream) => {
        const { announcement } = upstream;
        this.#suspectSync.recordAnnouncement(announcement, upstream.age);
        dispatch.send({ kind: "upstream", announcement });
        registry.send({ kind: "upstream", upstream });
      },
      onUpstreamLapsed: (name) => {
        this.#suspectSync.recordLapse(name);
        dispatch.send({ kind: "upstream_lapsed", name });
      },
      onSynchronized: () => {
        this.#isSynchronized = true;
      },
    });
  }

  /** Waits until all requests are finished or the time limit has passed. */
  async #finishRequests(limit: number): Promise<void> {
    const deadline = Date.now() + limit;
    while (Date.now() < deadline && await this.#countOwned() > 0) {
      await sleep(SHUTDOWN_POLL_INTERVAL_MS);
    }
  }

  /** Waits until all callers have their responses, or for a time. */
  async #finishResponses(deadline: number): Promise<void> {
    while (Date.now() < deadline && this.#server.inFlight > 0) {
      this.#server.stopListening();
      await sleep(SHUTDOWN_POLL_INTERVAL_MS);
    }
  }

  #countOwned(): Promise<number> {
    return new Promise((resolve) => {
      this.#parts.registry.send({
        kind: "count",
        reply: ({ owned }) => resolve(owned),
      });
    });
  }

  /**
   * Hands unfinished requests over to the standbys and waits for the handover.
   */
  async #handOver(): Promise<void> {
    const owned = await this.#countOwned();
    if (owned === 0) {
      return;
    }
    const log = this.#context.log("entry");
    log.info(`Handing over ${owned} unfinished requests`);
    this.#parts.registry.send({ kind: "hand_over" });
    await this.#finishRequests(HAND_OVER_RESERVE_MS);
    const remaining = await this.#countOwned();
    if (remaining > 0) {
      log.warn(
        `${remaining} requests were not handed over; their standbys take them over`,
      );
    }
  }

  /** Gives pending response bytes time to be sent. */
  async #waitForFlush(): Promise<void> {
    await sleep(SHUTDOWN_GRACE_MS);
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}
