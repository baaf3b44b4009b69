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

const STEP_MS = 10;
const ELECTION_TIMEOUT_MS = 500;
/** Minimum number of log entries between snapshots. */
const SNAPSHOT_ENTRIES = 15;
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const silentLog = { debug() {}, info() {}, warn() {}, error() {} };

/** State that survives a loss of power. */
type SimulatedDisk = {
  readonly id: string;
  founders: readonly ReplicaMember[] | undefined;
  snapshot: LogSnapshot | undefined;
  records: JournalRecord[];
};

/** A running replica with the state that it loses when it stops. */
type SimulatedProcess = {
  readonly replica: Replica;
  readonly reconciler: GroupReconciler;
  readonly directory: MemberDirectory;
  applied: string[];
  snapshotIndex: number;
  /** Messages that wait for a write to the disk. */
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

type Packet = { address: string; from: string; message: ConsensusMessage };

/**
 * A control group and its reconcilers in virtual time, for tests of lost disks,
 * VMs and power. Each step delivers the messages sent in the previous step.
 */
export class SimulatedGroup {
  readonly vms = new Map<string, SimulatedVm>();
  readonly acknowledged: string[] = [];
  seeds: string[];
  now = 0;
  readonly #seed: number;
  readonly #promisedLosses: FaultToleranceTarget;
  readonly #advanceTimers: (milliseconds: number) => Promise<void>;
  readonly #isolated = new Set<string>();
  #packets: Packet[] = [];
  #diskCount = 0;
  #commandCount = 0;

  /**
   * @param names Names of the VMs at the start. The first three are the seeds;
   *     the first `2 * losses + 1` are the initial members.
   */
  constructor(
    names: readonly string[],
    options: {
      seed: number;
      /** Simultaneous losses that the group must tolerate; 1 by default. */
      losses?: number;
      advanceTimers: (milliseconds: number) => Promise<void>;
    },
  ) {
    this.#seed = options.seed;
    const machines = options.losses ?? 1;
    this.#promisedLosses = { machines, zones: 0, regions: 0 };
    const initialMemberCount = faultTolerance.voters(machines);
    this.#advanceTimers = options.advanceTimers;
    this.seeds = names.slice(0, 3).map(addressOf);
    for (const name of names) {
      this.#addVm(name);
    }
    const initialMembers = names.slice(0, initialMemberCount).map((name) =>
      this.#createMember(this.vms.get(name)!)
    );
    for (const name of names.slice(0, initialMemberCount)) {
      this.vms.get(name)!.disk.founders = initialMembers;
    }
  }

  /** Adds a VM with an empty disk. */
  add(name: string): void {
    this.#addVm(name);
  }

  /** Removes a VM permanently. */
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

  /** Replaces the disk of a VM by an empty one; the VM must be off. */
  wipeDisk(name: string): void {
    this.vms.get(name)!.disk = this.#createDisk();
  }

  /** Partitions these VMs from all others; an empty list heals the network. */
  isolate(names: readonly string[]): void {
    this.#isolated.clear();
    for (const name of names) {
      this.#isolated.add(addressOf(name));
    }
  }

  get addresses(): string[] {
    return [...this.vms.values()].map(({ address }) => address);
  }

  get leader(): SimulatedVm | undefined {
    const leaders = [...this.vms.values()].filter(({ process }) =>
      process?.replica.role === ReplicaRole.leader
    );
    // An isolated leader may not have seen the higher term of another one.
    return leaders.sort((left, right) =>
      right.process!.replica.term - left.process!.replica.term
    )[0];
  }

  /** Names of the voters, according to the leader. */
  get voters(): string[] {
    const members = this.leader?.process?.replica.members ?? [];
    return members.filter(({ voter }) => voter).map(({ name }) => name);
  }

  /** Commands that the leader has applied. */
  get committed(): readonly string[] {
    return this.leader?.process?.applied ?? [];
  }

  /** Proposes a command to the leader, if there is one. */
  propose(): void {
    const vm = this.leader;
    if (vm !== undefined) {
      this.#commandCount += 1;
      const command = `c${this.#commandCount}`;
      this.#handleEvent(vm, { kind: "propose", token: command, command });
    }
  }

  /** Advances the time; a command is proposed every 400 ms. */
  async run(milliseconds: number): Promise<void> {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += STEP_MS;
      this.#startProcesses();
      const packets = this.#packets;
      this.#packets = [];
      for (const packet of packets) {
        this.#deliver(packet);
      }
      for (const vm of this.vms.values()) {
        this.#handleEvent(vm, { kind: "tick" });
      }
      if (this.now % 400 === 0) {
        this.propose();
      }
      await this.#advanceTimers(STEP_MS);
    }
  }

  /** Stops all replicas and their timers. */
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
    this.#diskCount += 1;
    return {
      id: `disk-${this.#diskCount}`,
      founders: undefined,
      snapshot: undefined,
      records: [],
    };
  }

  #createMember(vm: SimulatedVm): ReplicaMember {
    const { name, address, disk } = vm;
    return { id: disk.id, name, address, zone: name[0]!, voter: true };
  }

  /** Starts stopped replicas. An empty disk gets its members from a seed. */
  #startProcesses(): void {
    for (const vm of this.vms.values()) {
      if (!vm.isUp || vm.process !== undefined) {
        continue;
      }
      for (const seed of this.seeds) {
        vm.disk.founders ??= this.#findReachable(vm.address, seed)?.disk
          .founders;
      }
      if (vm.disk.founders !== undefined) {
        vm.process = this.#startProcess(vm, vm.disk.founders);
      }
    }
  }

  #startProcess(
    vm: SimulatedVm,
    initialMembers: readonly ReplicaMember[],
  ): SimulatedProcess {
    const self = this.#createMember(vm);
    const { snapshot, records } = vm.disk;
    const replica = new Replica({
      id: self.id,
      founders: initialMembers,
      heartbeatInterval: ELECTION_TIMEOUT_MS / 5,
      electionTimeout: ELECTION_TIMEOUT_MS,
      clockDrift: 0.05,
      chunkLength: 4096,
      maxAppendEntries: 64,
      maxAppendBytes: 65_536,
      trailingEntries: 5,
      trailingBytes: 65_536,
    }, {
      random: createSeededRandom(
        this.#seed + this.now + 7919 * Number(self.id.slice("disk-".length)),
      ),
      stored: structuredClone({ snapshot, records }),
      at: { now: this.now, steady: this.now },
    });
    const directory = new MemberDirectory({
      founders: initialMembers,
      members: () => replica.members,
    });
    const reconciler = new GroupReconciler({
      self,
      replica,
      directory,
      clock: { now: () => this.now, steady: () => this.now } as never,
      pool: this.#createPool(vm),
      log: silentLog,
      metrics,
      promised: this.#promisedLosses,
      regionOf: (zone) => zone,
      seeds: () => this.seeds,
      changeMembers: (members) =>
        this.#handleEvent(vm, { kind: "change_members", token: "", members }),
      methodPrefix: "group",
    });
    reconciler.start();
    return {
      replica,
      reconciler,
      directory,
      applied: snapshot === undefined ? [] : JSON.parse(snapshot.data),
      snapshotIndex: snapshot?.lastIndex ?? 0,
      waiting: [],
    };
  }

  /** The part of `PeerPool` that reconcilers use. */
  #createPool(vm: SimulatedVm): PeerPool {
    return {
      call: async (
        address: string,
        method: string,
        options: { parameters: { member: ReplicaMember } },
      ) => {
        const peer = this.#findReachable(vm.address, address);
        if (peer?.process === undefined) {
          throw new Error(`${address} is unreachable.`);
        }
        const { reconciler, replica } = peer.process;
        const handler = reconciler.methods()[method];
        if (handler !== undefined) {
          return await handler(options.parameters);
        }
        return {
          formed: true,
          self: this.#createMember(peer),
          members: [...replica.members],
          founders: [...peer.disk.founders!],
        } satisfies JoinReply;
      },
    } as unknown as PeerPool;
  }

  #findReachable(from: string, address: string): SimulatedVm | undefined {
    const isPartitioned =
      this.#isolated.has(from) !== this.#isolated.has(address);
    const vms = [...this.vms.values()];
    const vm = vms.find((candidate) => candidate.address === address);
    return vm?.isUp === true && !isPartitioned ? vm : undefined;
  }

  #deliver({ address, from, message }: Packet): void {
    const vm = this.#findReachable(from, address);
    if (vm !== undefined) {
      this.#handleEvent(vm, { kind: "message", message });
    }
  }

  #handleEvent(vm: SimulatedVm, event: ReplicaEvent): void {
    const { process } = vm;
    if (process === undefined) {
      return;
    }
    const instant = { now: this.now, steady: this.now };
    for (const effect of process.replica.handle(event, instant)) {
      this.#execute(vm, process, effect);
    }
  }

  #execute(
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
        process.snapshotIndex = effect.snapshot.lastIndex;
        return;
      case "committed":
        // Membership changes have an empty token.
        if (effect.token !== "") {
          this.acknowledged.push(effect.token);
        }
        return;
      default:
        return;
    }
  }

  /** Writes at once; the replica is notified after the current event. */
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
        this.#handleEvent(vm, { kind: "persisted", number: effect.number });
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
    if (entry.index - process.snapshotIndex < SNAPSHOT_ENTRIES) {
      return;
    }
    process.snapshotIndex = entry.index;
    const data = JSON.stringify(process.applied);
    const { index } = entry;
    queueMicrotask(() => {
      if (vm.process === process) {
        this.#handleEvent(vm, { kind: "snapshot_taken", index, data });
      }
    });
  }
}

function addressOf(name: string): string {
  return `${name}:1`;
}
