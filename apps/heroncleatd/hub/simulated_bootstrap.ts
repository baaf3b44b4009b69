import { createSeededRandom, type Random } from "@heroncleat/base";
import { faultTolerance } from "@heroncleat/consensus";
import type { FoundingView, ReplicaMember } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import { bootstrapCalls } from "./bootstrap_calls.ts";
import { BootstrapRegistry } from "./bootstrap_registry.ts";
import { joinGroup } from "./join_group.ts";

/** Maximum delay of a message in one direction. */
const MAX_MESSAGE_DELAY_MS = 40;
const MESSAGE_LOSS_RATE = 0.02;
/** Time after which a call whose message was lost fails. */
const CALL_TIMEOUT_MS = 1000;
const ANNOUNCE_INTERVAL_MS = 1000;
/** Maximum duration of a disk sync. */
const MAX_DISK_SYNC_MS = 30;
const silentLog: Log = { debug() {}, info() {}, warn() {}, error() {} };

/** One run of a control process. */
type SimulatedProcess = {
  readonly registry: BootstrapRegistry;
  readonly methods: ReturnType<typeof bootstrapCalls.methods>;
};

/** A VM of the control role. */
type SimulatedVm = {
  readonly name: string;
  readonly member: ReplicaMember;
  readonly hasDisk: boolean;
  /** The initial members as stored on disk; undefined if none are stored. */
  founders: readonly ReplicaMember[] | undefined;
  process: SimulatedProcess | undefined;
};

/**
 * Simulates the first start of a control group in virtual time. VMs with a disk
 * bootstrap the group through seeds, some or all of which may have no disk,
 * over a network that delays and loses messages.
 */
export class SimulatedBootstrap {
  readonly vms: SimulatedVm[] = [];
  readonly random: Random;
  readonly #seeds: readonly string[];
  readonly #toleratedLosses: number;
  readonly #now: () => number;

  /** @param disks For each zone, whether each of its VMs has a disk. */
  constructor(
    disks: readonly (readonly boolean[])[],
    options: { seed: number; losses: number; now: () => number },
  ) {
    this.random = createSeededRandom(Math.imul(options.seed + 1, 0x9e3779b1));
    this.#toleratedLosses = options.losses;
    this.#now = options.now;
    for (const [zone, vms] of disks.entries()) {
      for (const [index, hasDisk] of vms.entries()) {
        const name = `${"abcdef"[zone]}${index}`;
        const member = {
          id: `disk-${name}`,
          name,
          address: `${name}:1`,
          zone: name[0]!,
          voter: true,
        };
        this.vms.push({
          name,
          member,
          hasDisk,
          founders: undefined,
          process: undefined,
        });
      }
    }
    const shuffled = this.vms
      .map(({ member }) => ({ address: member.address, order: this.random() }))
      .sort((left, right) => left.order - right.order);
    this.#seeds = shuffled.slice(0, 3).map(({ address }) => address);
  }

  get replicas(): readonly SimulatedVm[] {
    return this.vms.filter(({ hasDisk }) => hasDisk);
  }

  get seedVms(): readonly SimulatedVm[] {
    return this.vms.filter(({ member }) =>
      this.#seeds.includes(member.address)
    );
  }

  start(vm: SimulatedVm): void {
    const registry = new BootstrapRegistry(this.#now());
    const clock = { steady: this.#now } as never;
    const methods = bootstrapCalls.methods(registry, clock);
    const process = { registry, methods };
    vm.process = process;
    if (vm.hasDisk) {
      void this.#runReplica(vm, process);
    }
  }

  /** Stops the process; its in-memory state is lost. */
  kill(vm: SimulatedVm): void {
    vm.process = undefined;
  }

  /** Stops all processes, so that none waits any longer. */
  close(): void {
    for (const vm of this.vms) {
      this.kill(vm);
    }
  }

  async #runReplica(vm: SimulatedVm, process: SimulatedProcess): Promise<void> {
    const call = (seed: string, method: string, parameters: unknown) =>
      this.#call({ vm, process }, seed, { method, parameters });
    const initialMembers = vm.founders ?? await joinGroup({
      self: vm.member,
      seeds: () => this.#seeds,
      mayBootstrap: true,
      targetMemberCount: faultTolerance.voters(this.#toleratedLosses),
      clock: { steady: this.#now } as never,
      log: silentLog,
      register: (seed, request) => call(seed, "group.register", request),
      hold: (seed, request) => call(seed, "group.hold", request),
    });
    await pause(this.random() * MAX_DISK_SYNC_MS);
    if (vm.process !== process) {
      return;
    }
    vm.founders = initialMembers;
    process.registry.recordGroup(initialMembers, []);
    while (vm.process === process) {
      for (const seed of this.#seeds) {
        const request = {
          member: vm.member,
          founders: [...initialMembers],
          members: [...initialMembers],
        };
        call(seed, "group.register", request).catch(() => undefined);
      }
      await pause(ANNOUNCE_INTERVAL_MS);
    }
  }

  /** Calls that a stopped process has made never settle. */
  async #call(
    from: { vm: SimulatedVm; process: SimulatedProcess },
    seed: string,
    { method, parameters }: { method: string; parameters: unknown },
  ): Promise<FoundingView> {
    const peer = this.vms.find(({ member }) => member.address === seed)!;
    const isLocal = peer === from.vm;
    await this.#delayMessage(isLocal);
    const called = peer.process;
    if (called === undefined) {
      throw new Error(`${seed} isn't running.`);
    }
    const view = called.methods[method]!(structuredClone(parameters));
    await this.#delayMessage(isLocal);
    if (from.vm.process !== from.process) {
      return await new Promise(() => {});
    }
    return structuredClone(view) as FoundingView;
  }

  async #delayMessage(isLocal: boolean): Promise<void> {
    if (isLocal) {
      return;
    }
    if (this.random() < MESSAGE_LOSS_RATE) {
      await pause(CALL_TIMEOUT_MS);
      throw new Error("timed out");
    }
    await pause(this.random() * MAX_MESSAGE_DELAY_MS);
  }
}

function pause(time: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, time));
}
