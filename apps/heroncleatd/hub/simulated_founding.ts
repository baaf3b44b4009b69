import { createSeededRandom, type Random } from "@heroncleat/base";
import { faultTolerance } from "@heroncleat/consensus";
import type { FoundingView, ReplicaMember } from "@heroncleat/schema";
import type { Log } from "../common/log.ts";
import { foundingCalls } from "./founding_calls.ts";
import { FoundingRegister } from "./founding_register.ts";
import { joinGroup } from "./join_group.ts";

/** A message takes up to this each way, in ms. */
const MOST_DELAY = 40;
const LOST_SHARE = 0.02;
/** Silence after which a call that was lost has failed, in ms. */
const CALL_TIMEOUT = 1000;
const ANNOUNCE_INTERVAL = 1000;
/** A sync of the disk takes up to this, in ms. */
const MOST_SYNC = 30;
const quiet: Log = { debug() {}, info() {}, warn() {}, error() {} };

/** A process of the control role; a new one after each start. */
type SimulatedProcess = {
  readonly register: FoundingRegister;
  readonly methods: ReturnType<typeof foundingCalls.methods>;
};

/** A VM of the control role. */
type SimulatedVm = {
  readonly name: string;
  readonly member: ReplicaMember;
  readonly hasDisk: boolean;
  /** On its disk; undefined for none. */
  founders: readonly ReplicaMember[] | undefined;
  process: SimulatedProcess | undefined;
};

/**
 * The first start of a control group in virtual time: VMs with a disk found it
 * by way of seeds of which any may have none, over a network that delays and
 * loses messages.
 */
export class SimulatedFounding {
  readonly vms: SimulatedVm[] = [];
  readonly random: Random;
  readonly #seeds: readonly string[];
  readonly #losses: number;
  readonly #now: () => number;

  /** @param disks For each zone, whether each of its VMs has a disk. */
  constructor(
    disks: readonly (readonly boolean[])[],
    options: { seed: number; losses: number; now: () => number },
  ) {
    this.random = createSeededRandom(Math.imul(options.seed + 1, 0x9e3779b1));
    this.#losses = options.losses;
    this.#now = options.now;
    for (const [zone, vms] of disks.entries()) {
      for (const [at, hasDisk] of vms.entries()) {
        const name = `${"abcdef"[zone]}${at}`;
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
    const register = new FoundingRegister(this.#now());
    const clock = { steady: this.#now } as never;
    const methods = foundingCalls.methods(register, clock);
    const process = { register, methods };
    vm.process = process;
    if (vm.hasDisk) {
      void this.#runReplica(vm, process);
    }
  }

  /** Its process is gone, and all that it held in memory. */
  kill(vm: SimulatedVm): void {
    vm.process = undefined;
  }

  /** Ends all processes, and with them what they wait for. */
  close(): void {
    for (const vm of this.vms) {
      this.kill(vm);
    }
  }

  async #runReplica(vm: SimulatedVm, process: SimulatedProcess): Promise<void> {
    const call = (seed: string, method: string, parameters: unknown) =>
      this.#call({ vm, process }, seed, { method, parameters });
    const founders = vm.founders ?? await joinGroup({
      self: vm.member,
      seeds: () => this.#seeds,
      mayFound: true,
      wantedFounders: faultTolerance.voters(this.#losses),
      clock: { steady: this.#now } as never,
      log: quiet,
      register: (seed, request) => call(seed, "group.register", request),
      hold: (seed, request) => call(seed, "group.hold", request),
    });
    await pause(this.random() * MOST_SYNC);
    if (vm.process !== process) {
      return;
    }
    vm.founders = founders;
    process.register.learnGroup(founders, []);
    while (vm.process === process) {
      for (const seed of this.#seeds) {
        const request = {
          member: vm.member,
          founders: [...founders],
          members: [...founders],
        };
        call(seed, "group.register", request).catch(() => undefined);
      }
      await pause(ANNOUNCE_INTERVAL);
    }
  }

  /** A process that is gone never hears of an answer. */
  async #call(
    from: { vm: SimulatedVm; process: SimulatedProcess },
    seed: string,
    { method, parameters }: { method: string; parameters: unknown },
  ): Promise<FoundingView> {
    const peer = this.vms.find(({ member }) => member.address === seed)!;
    const isOwn = peer === from.vm;
    await this.#travel(isOwn);
    const called = peer.process;
    if (called === undefined) {
      throw new Error(`${seed} isn't up.`);
    }
    const view = called.methods[method]!(structuredClone(parameters));
    await this.#travel(isOwn);
    if (from.vm.process !== from.process) {
      return await new Promise(() => {});
    }
    return structuredClone(view) as FoundingView;
  }

  async #travel(isOwn: boolean): Promise<void> {
    if (isOwn) {
      return;
    }
    if (this.random() < LOST_SHARE) {
      await pause(CALL_TIMEOUT);
      throw new Error("timed out");
    }
    await pause(this.random() * MOST_DELAY);
  }
}

function pause(time: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, time));
}
