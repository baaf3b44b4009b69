import { type Clock, ownValue } from "@heroncleat/base";
import {
  faultTolerance,
  type GroupState,
  Replica,
  ReplicaRole,
} from "@heroncleat/consensus";
import { Journal, readDiskIdentity } from "@heroncleat/journal";
import {
  checkConsensusMessage,
  type JoinReply,
  type ReplicaMember,
} from "@heroncleat/schema";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import { start as startActors } from "nact";
import { Actor } from "../common/actor.ts";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { ConfirmedReads } from "../control/confirmed_reads.ts";
import { GroupReconciler } from "../control/group_reconciler.ts";
import { logLimits } from "../control/log_limits.ts";
import { MemberDirectory } from "../control/member_directory.ts";
import { groupFile } from "../control/group_file.ts";
import type { ProposalOutcome } from "../control/proposal_outcome.ts";
import { ReplicaAccess } from "../control/replica_access.ts";
import { ReplicaHost } from "../control/replica_host.ts";
import type { ReplicaMessage } from "../control/replica_message.ts";
import { BootstrapRegistry } from "./bootstrap_registry.ts";
import { bootstrapCalls } from "./bootstrap_calls.ts";
import { GroupAnnouncer } from "./group_announcer.ts";
import type { HubSettings } from "./hub_settings.ts";
import { isSameDocument } from "./is_same_document.ts";
import { joinGroup } from "./join_group.ts";
import { ServingApplication } from "./serving_application.ts";
import type { ServingCommand } from "./serving_command.ts";

const TICK_INTERVAL_MS = 20;
/** Heartbeats that a leader sends within one election timeout. */
const HEARTBEATS_PER_TIMEOUT = 5;
const ENTRIES_PER_SNAPSHOT = 200;
const MAX_APPEND_ENTRIES = 64;
const TRAILING_ENTRIES = 50;
/** Pause between attempts to confirm the state after a start. */
const CONFIRM_RETRY_MS = 30;
const READ_TIMEOUT_MS = 700;
const PROPOSE_TIMEOUT_MS = 700;
const METHOD_PREFIX = "group";
/** Time for a transfer of leadership before the process stops. */
const TRANSFER_TIME_MS = 300;

type GroupOptions = {
  readonly settings: () => HubSettings;
  readonly pool: PeerPool;
  readonly serve: (methods: Readonly<Record<string, MethodHandler>>) => void;
  readonly clock: Clock;
  readonly log: (part: string) => Log;
  readonly metrics: Metrics;
  /**
   * Called when this replica can't continue, for example because a disk write
   * failed.
   */
  readonly onFailure: (error: unknown) => void;
};

type Access = ReplicaAccess<ServingApplication, ServingCommand>;

/** The leadership of this replica. */
export type Leadership = {
  readonly term: number;
  /** Monotonic time at which the lease ends, as given by the clock's `now`. */
  readonly leaseUntil: number;
};

/** This process's replica of the state behind request forwarding. */
export class ReplicaGroup {
  readonly #options: GroupOptions;
  readonly #self: ReplicaMember;
  readonly #replica: Replica;
  readonly #application: ServingApplication;
  readonly #actor: Actor<ReplicaMessage<ServingApplication>>;
  readonly #access: Access;
  readonly #reads: ConfirmedReads;
  readonly #reconciler: GroupReconciler;
  readonly #ticker: NodeJS.Timeout;
  readonly #announcer: GroupAnnouncer;
  readonly #journal: Journal;
  #isConfirmed = false;
  #isStopped = false;

  private constructor(
    options: GroupOptions,
    parts: {
      self: ReplicaMember;
      founders: readonly ReplicaMember[];
      journal: Journal;
      content: ConstructorParameters<typeof Replica>[1]["stored"];
    },
  ) {
    this.#options = options;
    this.#self = parts.self;
    this.#journal = parts.journal;
    const { clock, pool, log } = options;
    const fail = (error: unknown) => this.#fail(error);
    const { electionTimeout, clockDrift } = options.settings();
    this.#application = new ServingApplication();
    if (parts.content.snapshot !== undefined) {
      this.#application.restore(parts.content.snapshot.data);
    }
    this.#replica = new Replica({
      id: parts.self.id,
      founders: parts.founders,
      heartbeatInterval: electionTimeout / HEARTBEATS_PER_TIMEOUT,
      electionTimeout,
      clockDrift,
      chunkLength: logLimits.chunkLength,
      maxAppendEntries: MAX_APPEND_ENTRIES,
      maxAppendBytes: logLimits.maxAppendBytes,
      trailingEntries: TRAILING_ENTRIES,
      trailingBytes: logLimits.trailingBytes,
    }, {
      random: Math.random,
      stored: parts.content,
      at: { now: clock.now(), steady: clock.steady() },
    });
    const directory = new MemberDirectory({
      founders: parts.founders,
      members: () => this.#replica.members,
    });
    const host: ReplicaHost<ServingApplication> = new ReplicaHost({
      replica: this.#replica,
      application: this.#application,
      journal: parts.journal,
      directory,
      clock,
      log: log("consensus"),
      snapshotEntries: ENTRIES_PER_SNAPSHOT,
      snapshotBytes: logLimits.snapshotBytes,
      isRepetition: (earlier, later) =>
        isSameDocument(earlier as ServingCommand, later as ServingCommand),
      sendTo: (address, message) => {
        // A write may finish after the stop, when the pool is closed.
        if (!this.#isStopped) {
          pool.notify(address, "group.consensus", message);
        }
      },
      sendSelf: (message) => this.#actor.send(message),
      fail,
    });
    this.#actor = new Actor(startActors() as never, {
      name: "replica",
      log: log("consensus"),
      // If a replica throws halfway through its effects, its in-memory state is
      // unreliable; the journal is intact.
      handle: (message) => {
        try {
          host.handle(message);
        } catch (error) {
          fail(error);
        }
      },
    });
    this.#access = new ReplicaAccess(this.#actor);
    this.#reads = new ConfirmedReads({
      readIndex: (timeout) => this.#access.readIndex(timeout),
      waitApplied: (index, timeout) => this.#access.waitApplied(index, timeout),
    }, { pool, timeout: READ_TIMEOUT_MS, method: "group.read_index" });
    this.#reconciler = new GroupReconciler({
      self: parts.self,
      replica: this.#replica,
      directory,
      clock,
      pool,
      log: log("group"),
      metrics: options.metrics,
      promised: options.settings().promisedLosses,
      regionOf: (zone) => ownValue(options.settings().regions, zone) ?? zone,
      seeds: () => options.settings().seeds,
      changeMembers: (members) => this.#changeMembers(members),
      methodPrefix: METHOD_PREFIX,
    });
    this.#serve(parts.founders);
    this.#ticker = setInterval(() => {
      this.#actor.send({ kind: "event", event: { kind: "tick" } });
    }, TICK_INTERVAL_MS);
    this.#announcer = new GroupAnnouncer({
      pool,
      seeds: () => options.settings().seeds,
      describeGroup: () => ({
        member: parts.self,
        founders: [...parts.founders],
        members: [...this.#replica.members],
      }),
    });
    this.#reconciler.start();
    void this.#confirmOnce();
  }

  /** Opens the disk, then joins the group or bootstraps it. */
  static async start(options: GroupOptions): Promise<ReplicaGroup> {
    const settings = options.settings();
    const identity = await readDiskIdentity(settings.dataFolder);
    if (identity.isErr) {
      throw identity.error;
    }
    const opened = await Journal.open(settings.dataFolder);
    if (opened.isErr) {
      throw opened.error;
    }
    const self: ReplicaMember = {
      id: identity.value.id,
      name: settings.name,
      address: settings.peerAddress,
      zone: settings.zone,
      voter: true,
    };
    const registry = new BootstrapRegistry(options.clock.steady());
    const bootstrapMethods = bootstrapCalls.methods(registry, options.clock);
    const stored = await groupFile.read(settings.dataFolder);
    // A seed that belongs to a group must report it from its first reply on.
    registry.recordGroup(stored?.founders ?? [], []);
    options.serve(bootstrapMethods);
    const initialMembers = stored?.founders ?? await joinGroup({
      self,
      seeds: () => options.settings().seeds,
      mayBootstrap: settings.isFirstStart,
      targetMemberCount: faultTolerance.voters(settings.toleratedLosses),
      clock: options.clock,
      log: options.log("group"),
      ...bootstrapCalls.caller(options.pool, {
        ownAddress: settings.peerAddress,
        ownMethods: bootstrapMethods,
      }),
    });
    if (stored === undefined) {
      await groupFile.write(settings.dataFolder, initialMembers);
    }
    registry.recordGroup(initialMembers, []);
    const { journal, content } = opened.value;
    return new ReplicaGroup(options, {
      self,
      founders: initialMembers,
      journal,
      content,
    });
  }

  /** Peer addresses of all members. */
  get addresses(): string[] {
    return this.#replica.members.map((member) => member.address);
  }

  get ownAddress(): string {
    return this.#self.address;
  }

  /** State of the group as observed by this replica. */
  get state(): GroupState {
    return this.#reconciler.state;
  }

  /** The local state, which may lag behind the group's. */
  get application(): ServingApplication {
    return this.#application;
  }

  /** Whether the local state has been confirmed as current since the start. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Defined while this replica leads under a valid lease. */
  get leadership(): Leadership | undefined {
    const { leaseUntil, role, term } = this.#replica;
    const isLeading = role === ReplicaRole.leader &&
      leaseUntil > this.#options.clock.now();
    return isLeading ? { term, leaseUntil } : undefined;
  }

  /** Peer address of the leader; undefined if none is known. */
  get leaderAddress(): string | undefined {
    const { members, leader } = this.#replica;
    return members.find(({ id }) => id === leader)?.address;
  }

  /** Commits a command through this replica or the leader. */
  async propose(command: ServingCommand): Promise<ProposalOutcome> {
    const outcome = await this.#access.propose(command, PROPOSE_TIMEOUT_MS);
    if (outcome.kind !== "not_leader" || outcome.leader === "") {
      return outcome;
    }
    try {
      return await this.#options.pool.call(outcome.leader, "group.propose", {
        parameters: command,
        timeout: PROPOSE_TIMEOUT_MS,
      }) as ProposalOutcome;
    } catch {
      return { kind: "unknown" };
    }
  }

  /** Confirms with a quorum that the local state is current. */
  async confirm(): Promise<boolean> {
    const confirmation = await this.#reads.confirm();
    return confirmation.kind === "confirmed";
  }

  /** Hands over leadership, then stops. */
  async stop(): Promise<void> {
    this.#reconciler.stop();
    this.#actor.send({ kind: "event", event: { kind: "step_down" } });
    await new Promise((resolve) => setTimeout(resolve, TRANSFER_TIME_MS));
    clearInterval(this.#ticker);
    this.#announcer.stop();
    this.#isStopped = true;
    this.#actor.stop();
    await this.#journal.close();
  }

  /**
   * Stops this replica for good. Everything that it acknowledged is on disk.
   */
  #fail(error: unknown): void {
    if (this.#isStopped) {
      return;
    }
    this.#isStopped = true;
    this.#reconciler.stop();
    clearInterval(this.#ticker);
    this.#announcer.stop();
    this.#actor.stop();
    this.#journal.close().catch(() => {
      // The failure that caused this stop is reported instead.
    });
    this.#options.onFailure(error);
  }

  async #confirmOnce(): Promise<void> {
    while (!this.#isConfirmed && !this.#isStopped) {
      this.#isConfirmed = await this.confirm().catch(() => false);
      await new Promise((resolve) => setTimeout(resolve, CONFIRM_RETRY_MS));
    }
  }

  #changeMembers(members: readonly ReplicaMember[]): void {
    this.#actor.send({
      kind: "event",
      event: { kind: "change_members", token: "", members },
    });
  }

  #serve(initialMembers: readonly ReplicaMember[]): void {
    this.#options.serve({
      "group.consensus": (message) => {
        if (checkConsensusMessage(message)) {
          this.#actor.send({
            kind: "event",
            event: { kind: "message", message },
          });
        }
      },
      "control.join": (): JoinReply => ({
        formed: true,
        self: this.#self,
        members: [...this.#replica.members],
        founders: [...initialMembers],
      }),
      ...this.#reconciler.methods(),
      "group.read_index": () => this.#access.readIndex(READ_TIMEOUT_MS),
      "group.propose": (parameters) =>
        this.#access.propose(parameters as ServingCommand, PROPOSE_TIMEOUT_MS),
    });
  }
}
