import { createToken, splitList } from "@heroncleat/base";
import { faultTolerance, Replica } from "@heroncleat/consensus";
import { Journal, readDiskIdentity } from "@heroncleat/journal";
import type {
  Announcement,
  ControlSettings,
  JoinReply,
  MemberRecord,
  ReplicaMember,
  UpstreamRecord,
} from "@heroncleat/schema";
import { Actor } from "../common/actor.ts";
import { ControlClient } from "../common/control_client.ts";
import type { KeyRing } from "../common/key_ring.ts";
import type { ProcessContext } from "../common/process_context.ts";
import type { RunningRole } from "../common/running_role.ts";
import { ClaimExpiry } from "./claim_expiry.ts";
import { ConfirmedReads } from "./confirmed_reads.ts";
import { ControlApplication } from "./control_application.ts";
import { controlMethods } from "./control_methods.ts";
import { formGroup } from "./form_group.ts";
import { GroupReconciler } from "./group_reconciler.ts";
import { groupFile } from "./group_file.ts";
import { logLimits } from "./log_limits.ts";
import { MemberDirectory } from "./member_directory.ts";
import { OperatorServer } from "./operator_server.ts";
import { OrderRunner } from "./order_runner.ts";
import { ReplicaAccess } from "./replica_access.ts";
import { ReplicaHost } from "./replica_host.ts";
import type { ReplicaMessage } from "./replica_message.ts";

const TICK_INTERVAL_MS = 10;
const READ_TIMEOUT_MS = 1000;
const STATUS_TIMEOUT_MS = 1000;
const MAX_APPEND_ENTRIES = 512;
const TRAILING_ENTRIES = 500;
/** Time for a transfer of leadership before the process stops. */
const LEADERSHIP_TRANSFER_TIME_MS = 300;

/** Opens the data folder and returns the control role, ready to start. */
export async function startControl(
  context: ProcessContext,
  operators: KeyRing,
): Promise<RunningRole> {
  const settings = context.settings.control!;
  const identity = await readDiskIdentity(settings.data_folder);
  if (identity.isErr) {
    throw identity.error;
  }
  const opened = await Journal.open(settings.data_folder);
  if (opened.isErr) {
    throw opened.error;
  }
  const self = createOwnMember(context, identity.value.id);
  const group = await groupFile.read(settings.data_folder);
  return new ControlRole(context, {
    settings,
    self,
    operators,
    journal: opened.value.journal,
    content: opened.value.content,
    founders: group?.founders ?? [],
  });
}

type ControlResources = {
  readonly settings: ControlSettings;
  readonly self: ReplicaMember;
  readonly operators: KeyRing;
  readonly journal: Journal;
  /** Initial members of the group; empty if no group is stored. */
  readonly founders: readonly ReplicaMember[];
  readonly content: {
    readonly snapshot: ConstructorParameters<typeof Replica>[1]["stored"][
      "snapshot"
    ];
    readonly records: ConstructorParameters<typeof Replica>[1]["stored"][
      "records"
    ];
  };
};

/** Components that run once the group is formed. */
type StartedControl = {
  readonly actor: Actor<ReplicaMessage>;
  readonly reconciler: GroupReconciler;
  readonly claimExpiry: ClaimExpiry;
  readonly orders: OrderRunner;
  readonly server: OperatorServer;
  readonly ticker: NodeJS.Timeout;
};

/** The control role of one process. */
class ControlRole implements RunningRole {
  readonly #context: ProcessContext;
  readonly #resources: ControlResources;
  #started: StartedControl | undefined;

  constructor(context: ProcessContext, resources: ControlResources) {
    this.#context = context;
    this.#resources = resources;
  }

  async start(): Promise<void> {
    const { settings, self } = this.#resources;
    this.#serveJoinRequests();
    const log = this.#context.log("control");
    const peers = splitList(settings.replicas).filter((address) =>
      address !== self.address
    );
    const initialMembers = await formGroup({
      self,
      folder: settings.data_folder,
      peers: () => peers,
      pool: this.#context.pool,
      log,
    });
    await this.#startComponents(initialMembers, peers);
  }

  async stop(): Promise<void> {
    const started = this.#started;
    if (started === undefined) {
      return;
    }
    started.orders.stop();
    started.reconciler.stop();
    started.claimExpiry.stop();
    started.server.close();
    started.actor.send({ kind: "event", event: { kind: "step_down" } });
    await new Promise((resolve) =>
      setTimeout(resolve, LEADERSHIP_TRANSFER_TIME_MS)
    );
    clearInterval(started.ticker);
    started.actor.stop();
  }

  /**
   * Serves join requests until the replica runs. A replica that has a group
   * must report it from its first response. Otherwise a peer with a lost disk
   * could take restarting replicas for empty ones and bootstrap a second group.
   */
  #serveJoinRequests(): void {
    const { self, founders } = this.#resources;
    this.#context.serve({
      "control.join": (): JoinReply => ({
        formed: founders.length > 0,
        self,
        members: [],
        founders: [...founders],
      }),
    });
  }

  async #startComponents(
    initialMembers: readonly ReplicaMember[],
    peers: readonly string[],
  ): Promise<void> {
    const { settings, operators, self } = this.#resources;
    const { clock, pool } = this.#context;
    const log = this.#context.log("control");
    const { actor, reconciler } = this.#startReplica(initialMembers, peers);
    const replica = new ReplicaAccess(actor);
    const reads = new ConfirmedReads(replica, {
      pool,
      timeout: READ_TIMEOUT_MS,
    });
    const client = new ControlClient(splitList(settings.replicas), {
      pool,
      now: () => clock.now(),
    });
    const claimExpiry = new ClaimExpiry(replica, settings.claim_retention);
    const orders = new OrderRunner({
      replica,
      clock,
      log: this.#context.log("orders"),
      electionTimeout: settings.election_timeout,
      clockDrift: settings.clock_drift,
      orderTimeout: settings.order_timeout,
      unfencedOrderTimeout: settings.unfenced_order_timeout,
      findUpstream: (name) => this.#findUpstream(name),
    });
    const server = new OperatorServer({
      settings,
      operators,
      replica,
      reads,
      client,
      readStatus: () => this.#readStatus(),
      clock,
      log: this.#context.log("operator"),
      metrics: this.#context.metrics,
    });
    this.#context.serve(
      controlMethods({
        self,
        founders: initialMembers,
        replica,
        reads,
        wall: () => clock.wall(),
        onMessage: (message) =>
          actor.send({
            kind: "event",
            event: { kind: "message", message: message as never },
          }),
        membership: reconciler.methods(),
      }),
    );
    const ticker = setInterval(
      () => actor.send({ kind: "event", event: { kind: "tick" } }),
      TICK_INTERVAL_MS,
    );
    this.#started = {
      actor,
      reconciler,
      claimExpiry,
      orders,
      server,
      ticker,
    };
    reconciler.start();
    claimExpiry.start();
    orders.start();
    await server.listen();
    log.info(`Serving the operator API on ${settings.operator_address}`);
  }

  #startReplica(
    initialMembers: readonly ReplicaMember[],
    peers: readonly string[],
  ): { actor: Actor<ReplicaMessage>; reconciler: GroupReconciler } {
    const { settings, self, journal, content } = this.#resources;
    const { clock, pool, system, fail } = this.#context;
    const application = new ControlApplication();
    if (content.snapshot !== undefined) {
      application.restore(content.snapshot.data);
    }
    const replica = new Replica({
      id: self.id,
      founders: initialMembers,
      heartbeatInterval: settings.heartbeat_interval,
      electionTimeout: settings.election_timeout,
      clockDrift: settings.clock_drift,
      chunkLength: settings.snapshot_chunk,
      maxAppendEntries: MAX_APPEND_ENTRIES,
      maxAppendBytes: logLimits.maxAppendBytes,
      trailingEntries: TRAILING_ENTRIES,
      trailingBytes: logLimits.trailingBytes,
    }, {
      random: Math.random,
      stored: content,
      at: { now: clock.now(), steady: clock.steady() },
    });
    const log = this.#context.log("consensus");
    const directory = new MemberDirectory({
      founders: initialMembers,
      members: () => replica.members,
    });
    const host: ReplicaHost = new ReplicaHost({
      replica,
      application,
      journal,
      directory,
      clock,
      log,
      snapshotEntries: settings.snapshot_entries,
      snapshotBytes: logLimits.snapshotBytes,
      sendTo: (address, message) =>
        pool.notify(address, "control.consensus", message),
      sendSelf: (message) => actor.send(message),
      fail,
    });
    const actor: Actor<ReplicaMessage> = new Actor(system, {
      name: "replica",
      log,
      // An exception between two effects leaves the state in memory
      // inconsistent. The journal is consistent, so a restart recovers.
      handle: (message) => {
        try {
          host.handle(message);
        } catch (error) {
          fail(error);
        }
      },
    });
    const reconciler = new GroupReconciler({
      self,
      replica,
      directory,
      clock,
      pool,
      log: this.#context.log("control"),
      metrics: this.#context.metrics,
      promised: {
        machines: faultTolerance.toleratedFailures(peers.length + 1),
        zones: 0,
        regions: 0,
      },
      regionOf: (zone) => zone,
      seeds: () => peers,
      changeMembers: (members) =>
        actor.send({
          kind: "event",
          event: { kind: "change_members", token: createToken(), members },
        }),
      methodPrefix: "control",
    });
    return { actor, reconciler };
  }

  async #findUpstream(name: string): Promise<Announcement | undefined> {
    const status = await this.#fetchEntryStatus();
    return status?.upstreams.find((record) => record.announcement.name === name)
      ?.announcement;
  }

  async #readStatus(): Promise<unknown> {
    const replicas = await Promise.all(
      splitList(this.#resources.settings.replicas).map((address) =>
        this.#context.pool.call(address, "control.status", {
          parameters: {},
          timeout: STATUS_TIMEOUT_MS,
        }).catch(() => ({ kind: "unreachable", address }))
      ),
    );
    const entry = await this.#fetchEntryStatus();
    return {
      replicas,
      entries: entry?.members ?? [],
      upstreams: entry?.upstreams ?? [],
    };
  }

  /** Every entry has a record of all entries and all upstreams. */
  async #fetchEntryStatus(): Promise<
    { members: MemberRecord[]; upstreams: UpstreamRecord[] } | undefined
  > {
    for (const address of splitList(this.#resources.settings.entries ?? "")) {
      try {
        return await this.#context.pool.call(address, "entry.status", {
          parameters: {},
          timeout: STATUS_TIMEOUT_MS,
        }) as { members: MemberRecord[]; upstreams: UpstreamRecord[] };
      } catch {
        continue;
      }
    }
    return undefined;
  }
}

function createOwnMember(context: ProcessContext, id: string): ReplicaMember {
  const { daemon } = context.settings;
  return {
    id,
    name: daemon.name,
    address: daemon.advertised_peer_address ?? daemon.peer_address,
    zone: daemon.zone,
    voter: true,
  };
}
