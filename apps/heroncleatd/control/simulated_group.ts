import { createSeededRandom } from "@heroncleat/base";
import {
  faultTolerance,
  type FaultToleranceTarget,
  Replica,
  type ReplicaEffect,
  type ReplicaEvent,
  ReplicaRole,
} from "@heroncleat/consensus";
import type {
  ConsensusMessage,
  JoinReply,
  JournalRecord,
  LogSnapshot,
  ReplicaMember,
} from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import { GroupReconciler } from "./group_reconciler.ts";
import { MemberDirectory } from "./member_directory.ts";

const STEP = 10;
const ELECTION_TIMEOUT = 500;
/** Commands between snapshots. */
const SNAPSHOT_EVERY = 15;
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const quiet = { debug() {}, info() {}, warn() {}, error() {} };

/** What survives a loss of power. */
type SimulatedDisk = {
  readonly id: string;
  founders: readonly ReplicaMember[] | undefined;
  snapshot: LogSnapshot | undefined;
  records: JournalRecord[];
};

/** A replica that runs, with all that it loses when it stops. */
type SimulatedProcess = {
  readonly replica: Replica;
  readonly reconciler: GroupReconciler;
  readonly directory: MemberDirectory;
  applied: string[];
  snapshotAt: number;
  /** Whether it has written all that it must before it sends. */
  waiting: Extract<ReplicaEffect, { kind: "send" }>[];
};

/** A VM with a disk that runs one control replica. */
type SimulatedVm = {
  readonly name: string;
  readonly address: string;
  disk: SimulatedDisk;
  isUp: boolean;
  process: SimulatedProcess | undefined;
};

/** A message on its way. */
type Packet = { address: string; from: string; message: ConsensusMessage };

/**
 * A control group with its reconcilers in virtual time, for tests that lose
 * disks, VMs and power. Every step delivers what was sent in the one before,
 * 10 ms earlier.
 */
export class SimulatedGroup {
  readonly vms = new Map<string, SimulatedVm>();
  readonly acknowledged: string[] = [];
  seeds: string[];
  now = 0;
  readonly #seed: number;
  readonly #promised: FaultToleranceTarget;
  readonly #advanceTimers: (milliseconds: number) => Promise<void>;
  readonly #cut = new Set<string>();
  #packets: Packet[] = [];
  #disks = 0;
  #commands = 0;

  /**
   * @param names Names of the first VMs; the first three are the seeds, and as
   *     many as the losses take found the group.
   */
  constructor(
    names: readonly string[],
    options: {
      seed: number;
      /** Losses to bear; one where not said. */
      losses?: number;
      advanceTimers: (milliseconds: number) => Promise<void>;
    },
  ) {
    this.#seed = options.seed;
    const machines = options.losses ?? 1;
    this.#promised = { machines, zones: 0, regions: 0 };
    const founderCount = faultTolerance.voters(machines);
    this.#advanceTimers = options.advanceTimers;
    this.seeds = names.slice(0, 3).map(addressOf);
    for (const name of names) {
      this.#addVm(name);
    }
    const founders = names.slice(0, founderCount).map((name) =>
      this.#describe(this.vms.get(name)!)
    );
    for (const name of names.slice(0, founderCount)) {
      this.vms.get(name)!.disk.founders = founders;
    }
  }

  /** Adds a VM with an empty disk. */
  add(name: string): void {
    this.#addVm(name);
  }

  /** Takes a VM away for good. */
  remove(name: string): void {
    this.powerOff(name);
    this.vms.delete(name);
  }

  powerOff(name: string): void {
    const vm = this.vms.get(name)!;
    vm.isUp = false;
    vm.process?.reconciler.stop();
    vm.process = undefined;
  }

  powerOn(name: string): void {
    this.vms.get(name)!.isUp = true;
  }

  /** Gives a VM that is off an empty disk. */
  wipe(name: string): void {
    this.vms.get(name)!.disk = this.#createDisk();
  }

  /** Cuts VMs off from all others; none connects all again. */
  cut(names: readonly string[]): void {
    this.#cut.clear();
    for (const name of names) {
      this.#cut.add(addressOf(name));
    }
  }

  /** Addresses of all VMs. */
  get addresses(): string[] {
    return [...this.vms.values()].map(({ address }) => address);
  }

  get leader(): SimulatedVm | undefined {
    const leaders = [...this.vms.values()].filter(({ process }) =>
      process?.replica.role === ReplicaRole.leader
    );
    // One that was cut off may not know yet that another one leads.
    return leaders.sort((left, right) =>
      right.process!.replica.term - left.process!.replica.term
    )[0];
  }

  /** Names of the voters, as the leader knows them. */
  get voters(): string[] {
    const members = this.leader?.process?.replica.members ?? [];
    return members.filter(({ voter }) => voter).map(({ name }) => name);
  }

  /** Commands in the state of the VM that leads. */
  get committed(): readonly string[] {
    return this.leader?.process?.applied ?? [];
  }

  /** Proposes a command to the leader; it counts once it is committed. */
  propose(): void {
    const vm = this.leader;
    if (vm !== undefined) {
      this.#commands += 1;
      const command = `c${this.#commands}`;
      this.#drive(vm, { kind: "propose", token: command, command });
    }
  }

  /** Lets time pass; a command is proposed every 400 ms. */
  async run(milliseconds: number): Promise<void> {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += STEP;
      this.#startProcesses();
      const packets = this.#packets;
      this.#packets = [];
      for (const packet of packets) {
        this.#deliver(packet);
      }
      for (const vm of this.vms.values()) {
        this.#drive(vm, { kind: "tick" });
      }
      if (this.now % 400 === 0) {
        this.propose();
      }
      await this.#advanceTimers(STEP);
    }
  }

  /** Stops all timers. */
  close(): void {
    for (const name of this.vms.keys()) {
      this.powerOff(name);
    }
  }

  #addVm(name: string): void {
    this.vms.set(name, {
      name,
      address: addressOf(name),
      disk: this.#createDisk(),
      isUp: true,
      process: undefined,
    });
  }

  #createDisk(): SimulatedDisk {
    this.#disks += 1;
    return {
      id: `disk-${this.#disks}`,
      founders: undefined,
      snapshot: undefined,
      records: [],
    };
  }

  #describe(vm: SimulatedVm): ReplicaMember {
    const { name, address, disk } = vm;
    return { id: disk.id, name, address, zone: name[0]!, voter: true };
  }

  /** A VM that knows no founders yet asks the seeds for them. */
  #startProcesses(): void {
    for (const vm of this.vms.values()) {
      if (!vm.isUp || vm.process !== undefined) {
        continue;
      }
      for (const seed of this.seeds) {
        vm.disk.founders ??= this.#reach(vm.address, seed)?.disk.founders;
      }
      if (vm.disk.founders !== undefined) {
        vm.process = this.#startProcess(vm, vm.disk.founders);
      }
    }
  }

  #startProcess(
    vm: SimulatedVm,
    founders: readonly ReplicaMember[],
  ): SimulatedProcess {
    const self = this.#describe(vm);
    const { snapshot, records } = vm.disk;
    const replica = new Replica({
      id: self.id,
      founders,
      heartbeatInterval: ELECTION_TIMEOUT / 5,
      electionTimeout: ELECTION_TIMEOUT,
      clockDrift: 0.05,
      snapshotChunkLength: 4096,
      maxAppendEntries: 64,
      trailingEntries: 5,
    }, {
      random: createSeededRandom(
        this.#seed + this.now + 7919 * Number(self.id.slice("disk-".length)),
      ),
      stored: structuredClone({ snapshot, records }),
      at: { now: this.now, steady: this.now },
    });
    const directory = new MemberDirectory({
      founders,
      members: () => replica.members,
    });
    const reconciler = new GroupReconciler({
      self,
      replica,
      directory,
      clock: { now: () => this.now, steady: () => this.now } as never,
      pool: this.#poolOf(vm),
      log: quiet,
      metrics,
      promised: this.#promised,
      regionOf: (zone) => zone,
      seeds: () => this.seeds,
      changeMembers: (members) =>
        this.#drive(vm, { kind: "change_members", token: "", members }),
      methodPrefix: "group",
    });
    reconciler.start();
    return {
      replica,
      reconciler,
      directory,
      applied: snapshot === undefined ? [] : JSON.parse(snapshot.data),
      snapshotAt: snapshot?.lastIndex ?? 0,
      waiting: [],
    };
  }

  /** The part of a pool of peers that reconcilers use. */
  #poolOf(vm: SimulatedVm): PeerPool {
    return {
      call: async (
        address: string,
        method: string,
        options: { parameters: { member: ReplicaMember } },
      ) => {
        const peer = this.#reach(vm.address, address);
        if (peer?.process === undefined) {
          throw new Error(`${address} can't be reached.`);
        }
        const { reconciler, replica } = peer.process;
        const handler = reconciler.methods()[method];
        if (handler !== undefined) {
          return await handler(options.parameters);
        }
        return {
          formed: true,
          self: this.#describe(peer),
          members: [...replica.members],
          founders: [...peer.disk.founders!],
        } satisfies JoinReply;
      },
    } as unknown as PeerPool;
  }

  #reach(from: string, address: string): SimulatedVm | undefined {
    const isCut = this.#cut.has(from) !== this.#cut.has(address);
    const vms = [...this.vms.values()];
    const vm = vms.find((candidate) => candidate.address === address);
    return vm?.isUp === true && !isCut ? vm : undefined;
  }

  #deliver({ address, from, message }: Packet): void {
    const vm = this.#reach(from, address);
    if (vm !== undefined) {
      this.#drive(vm, { kind: "message", message });
    }
  }

  #drive(vm: SimulatedVm, event: ReplicaEvent): void {
    const { process } = vm;
    if (process === undefined) {
      return;
    }
    const at = { now: this.now, steady: this.now };
    for (const effect of process.replica.handle(event, at)) {
      this.#carryOut(vm, process, effect);
    }
  }

  #carryOut(
    vm: SimulatedVm,
    process: SimulatedProcess,
    effect: ReplicaEffect,
  ): void {
    switch (effect.kind) {
      case "persist":
        this.#persist(vm, effect);
        return;
      case "send":
        this.#send(vm, process, effect);
        return;
      case "apply":
        this.#apply(vm, process, effect.entry);
        return;
      case "restore":
        process.applied = JSON.parse(effect.snapshot.data);
        process.snapshotAt = effect.snapshot.lastIndex;
        return;
      case "committed":
        // Changes of members bear no token.
        if (effect.token !== "") {
          this.acknowledged.push(effect.token);
        }
        return;
      default:
        return;
    }
  }

  /** The disk is written at once; the replica learns of it after this event. */
  #persist(
    vm: SimulatedVm,
    effect: Extract<ReplicaEffect, { kind: "persist" }>,
  ): void {
    if (effect.snapshot !== undefined) {
      vm.disk.snapshot = structuredClone(effect.snapshot);
      vm.disk.records = [];
    }
    vm.disk.records.push(...structuredClone(effect.records));
    const { process } = vm;
    queueMicrotask(() => {
      if (vm.process === process) {
        this.#drive(vm, { kind: "persisted", number: effect.number });
      }
    });
  }

  #send(
    vm: SimulatedVm,
    process: SimulatedProcess,
    effect: Extract<ReplicaEffect, { kind: "send" }>,
  ): void {
    const member = process.directory.find(effect.to);
    if (member !== undefined) {
      this.#packets.push({
        address: member.address,
        from: vm.address,
        message: structuredClone(effect.message),
      });
    }
  }

  #apply(
    vm: SimulatedVm,
    process: SimulatedProcess,
    entry: { index: number; kind: string; payload: unknown },
  ): void {
    if (entry.kind === "command") {
      process.applied.push(String(entry.payload));
    }
    if (entry.index - process.snapshotAt < SNAPSHOT_EVERY) {
      return;
    }
    process.snapshotAt = entry.index;
    const data = JSON.stringify(process.applied);
    const { index } = entry;
    queueMicrotask(() => {
      if (vm.process === process) {
        this.#drive(vm, { kind: "snapshot_taken", index, data });
      }
    });
  }
}

function addressOf(name: string): string {
  return `${name}:1`;
}
