import type { Clock } from "@heroncleat/base";
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
import { MemberDirectory } from "../control/member_directory.ts";
import { groupFile } from "../control/group_file.ts";
import type { ProposalOutcome } from "../control/proposal_outcome.ts";
import { ReplicaAccess } from "../control/replica_access.ts";
import { ReplicaHost } from "../control/replica_host.ts";
import type { ReplicaMessage } from "../control/replica_message.ts";
import { FoundingRegister } from "./founding_register.ts";
import { foundingCalls } from "./founding_calls.ts";
import { GroupAnnouncer } from "./group_announcer.ts";
import type { HubSettings } from "./hub_settings.ts";
import { joinGroup } from "./join_group.ts";
import { ServingApplication } from "./serving_application.ts";
import type { ServingCommand } from "./serving_command.ts";

const TICK = 20;
/** Heartbeats of a leader within the time that starts an election. */
const HEARTBEATS_PER_TIMEOUT = 5;
const SNAPSHOT_CHUNK = 256 * 1024;
const SNAPSHOT_ENTRIES = 200;
const APPEND_ENTRIES = 64;
const TRAILING_ENTRIES = 50;
/** Pause between tries to confirm the state after a start. */
const CONFIRM_PAUSE = 30;
const READ_TIMEOUT = 700;
const REMOTE_TIMEOUT = 700;
const METHOD_PREFIX = "group";
/** Time for a transfer of leadership before the process ends. */
const TRANSFER_TIME = 300;

/** What a group is started with. */
type GroupOptions = {
  readonly settings: () => HubSettings;
  readonly pool: PeerPool;
  readonly serve: (methods: Readonly<Record<string, MethodHandler>>) => void;
  readonly clock: Clock;
  readonly log: (part: string) => Log;
  readonly metrics: Metrics;
  /**
   * Called when this replica can't go on, as when its disk takes no bytes.
   */
  readonly onFailure: (error: unknown) => void;
};

type Access = ReplicaAccess<ServingApplication, ServingCommand>;

/** What leads the group now, as a replica that leads sees it. */
export type Leadership = {
  readonly term: number;
  /** End of the lease on the clock's `now`. */
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
  #isOver = false;

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
      snapshotChunkLength: SNAPSHOT_CHUNK,
      maxAppendEntries: APPEND_ENTRIES,
      trailingEntries: TRAILING_ENTRIES,
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
      snapshotEntries: SNAPSHOT_ENTRIES,
      sendTo: (address, message) => {
        // A write that ends after the stop has nobody to answer.
        if (!this.#isOver) {
          pool.notify(address, "group.consensus", message);
        }
      },
      sendSelf: (message) => this.#actor.send(message),
      fail,
    });
    this.#actor = new Actor(startActors() as never, {
      name: "replica",
      log: log("consensus"),
      // A replica that throws half-way through its effects has a state that
      // nobody can vouch for; the journal has.
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
    }, { pool, timeout: READ_TIMEOUT, method: "group.read_index" });
    this.#reconciler = new GroupReconciler({
      self: parts.self,
      replica: this.#replica,
      directory,
      clock,
      pool,
      log: log("group"),
      metrics: options.metrics,
      promised: options.settings().promisedLosses,
      regionOf: (zone) => options.settings().regions[zone] ?? zone,
      seeds: () => options.settings().seeds,
      changeMembers: (members) => this.#changeMembers(members),
      methodPrefix: METHOD_PREFIX,
    });
    this.#serve(parts.founders);
    this.#ticker = setInterval(() => {
      this.#actor.send({ kind: "event", event: { kind: "tick" } });
    }, TICK);
    this.#announcer = new GroupAnnouncer({
      pool,
      seeds: () => options.settings().seeds,
      describe: () => ({
        member: parts.self,
        founders: [...parts.founders],
        members: [...this.#replica.members],
      }),
    });
    this.#reconciler.start();
    void this.#confirmOnce();
  }

  /** Opens the disk, finds the group or founds it, and joins it. */
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
    const register = new FoundingRegister(options.clock.steady());
    const founding = foundingCalls.methods(register, options.clock);
    const stored = await groupFile.read(settings.dataFolder);
    // A seed that has a group must say so from its first answer.
    register.learnGroup(stored?.founders ?? [], []);
    options.serve(founding);
    const founders = stored?.founders ?? await joinGroup({
      self,
      seeds: () => options.settings().seeds,
      mayFound: settings.isFirstStart,
      wantedFounders: faultTolerance.voters(settings.toleratedLosses),
      clock: options.clock,
      log: options.log("group"),
      ...foundingCalls.caller(options.pool, {
        ownAddress: settings.peerAddress,
        own: founding,
      }),
    });
    if (stored === undefined) {
      await groupFile.write(settings.dataFolder, founders);
    }
    register.learnGroup(founders, []);
    const { journal, content } = opened.value;
    return new ReplicaGroup(options, { self, founders, journal, content });
  }

  /** Peer addresses of all members. */
  get addresses(): string[] {
    return this.#replica.members.map((member) => member.address);
  }

  get ownAddress(): string {
    return this.#self.address;
  }

  /** How the group stands, as this replica knows it. */
  get state(): GroupState {
    return this.#reconciler.state;
  }

  /** The state here; it may lag behind the group's. */
  get application(): ServingApplication {
    return this.#application;
  }

  /** Whether the state here was once confirmed to be current. */
  get isConfirmed(): boolean {
    return this.#isConfirmed;
  }

  /** Present while this replica leads under a lease. */
  get leadership(): Leadership | undefined {
    const { leaseUntil, role, term } = this.#replica;
    const leads = role === ReplicaRole.leader &&
      leaseUntil > this.#options.clock.now();
    return leads ? { term, leaseUntil } : undefined;
  }

  /** Commits a command here or at the leader. */
  async propose(command: ServingCommand): Promise<ProposalOutcome> {
    const outcome = await this.#access.propose(command, REMOTE_TIMEOUT);
    if (outcome.kind !== "not_leader" || outcome.leader === "") {
      return outcome;
    }
    try {
      return await this.#options.pool.call(outcome.leader, "group.propose", {
        parameters: command,
        timeout: REMOTE_TIMEOUT,
      }) as ProposalOutcome;
    } catch {
      return { kind: "unknown" };
    }
  }

  /** Whether the state here is current, as a quorum confirms. */
  async confirm(): Promise<boolean> {
    const confirmation = await this.#reads.confirm();
    return confirmation.kind === "confirmed";
  }

  /** Hands leadership over before the process ends. */
  async stop(): Promise<void> {
    this.#reconciler.stop();
    this.#actor.send({ kind: "event", event: { kind: "step_down" } });
    await new Promise((resolve) => setTimeout(resolve, TRANSFER_TIME));
    clearInterval(this.#ticker);
    this.#announcer.stop();
    this.#isOver = true;
    this.#actor.stop();
    await this.#journal.close();
  }

  /** Takes no further part; what was acknowledged is on the disk. */
  #fail(error: unknown): void {
    if (this.#isOver) {
      return;
    }
    this.#isOver = true;
    this.#reconciler.stop();
    clearInterval(this.#ticker);
    this.#announcer.stop();
    this.#actor.stop();
    this.#journal.close().catch(() => {
      // The disk has failed already, which is what is reported.
    });
    this.#options.onFailure(error);
  }

  async #confirmOnce(): Promise<void> {
    while (!this.#isConfirmed && !this.#isOver) {
      this.#isConfirmed = await this.confirm();
      await new Promise((resolve) => setTimeout(resolve, CONFIRM_PAUSE));
    }
  }

  #changeMembers(members: readonly ReplicaMember[]): void {
    this.#actor.send({
      kind: "event",
      event: { kind: "change_members", token: "", members },
    });
  }

  #serve(founders: readonly ReplicaMember[]): void {
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
        founders: [...founders],
      }),
      ...this.#reconciler.methods(),
      "group.read_index": () => this.#access.readIndex(READ_TIMEOUT),
      "group.propose": (parameters) =>
        this.#access.propose(parameters as ServingCommand, REMOTE_TIMEOUT),
    });
  }
}
