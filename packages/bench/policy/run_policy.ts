import { createSeededRandom } from "@heroncleat/base";
import {
  CAPACITY_DEFAULTS,
  CapacityPlanner,
  type Offer,
} from "@heroncleat/capacity";
import { VirtualTime } from "../virtual_time.ts";
import { RequestGenerator } from "./request_generator.ts";
import { Outcomes } from "./outcomes.ts";
import type { Policy } from "./policy.ts";
import type { PolicyResult } from "./policy_result.ts";
import type { Scenario } from "./scenario.ts";
import { SimulatedEntry } from "./simulated_entry.ts";
import { SimulatedVm } from "./simulated_vm.ts";
import type { Workload } from "./workload.ts";

type RunOptions = {
  readonly policy: Policy;
  readonly scenario: Scenario;
  readonly workload: Workload;
  readonly seed: number;
  /**
   * Demand that a fleet of constant size is planned for; without it, the fleet
   * follows the load.
   */
  readonly fixedDemand?: number;
};

const DURATION_MS = 160_000;
const ENTRY_COUNT = 3;
const SLOTS_PER_VM = 8;
const ANNOUNCE_INTERVAL_MS = 500;
const ANNOUNCE_DELAY_MS = 150;
const CACHE_EVENT_DELAY_MS = 600;
const PLAN_INTERVAL_MS = 5000;
const VM_START_TIME_MS = 40_000;
const RECLAIM_NOTICE_MS = 2000;
const START_REFUSAL_MS = 45_000;
const TICK_INTERVAL_MS = 20;
const LEASE_EXPIRY_DELAY_MS = 1500;
/** By then, all initial upstreams have announced themselves. */
const FIRST_REQUEST_AT_MS = 1000;
/**
 * Assumed request duration, which converts the request rate into the initial
 * demand.
 */
const INITIAL_REQUEST_SECONDS = 3;

const ZONES = [
  { zone: "zone-a", price: 0.9 },
  { zone: "zone-b", price: 1 },
  { zone: "zone-c", price: 1.1 },
  { zone: "zone-d", price: 1.2 },
];
const ON_DEMAND_PRICE = 3;

/** Runs one workload through one scenario under one policy. */
export function runPolicy(options: RunOptions): PolicyResult {
  const run = new PolicyRun(options);
  return run.execute();
}

/** Simulates the cloud provider, the entries and the callers of one run. */
class PolicyRun {
  readonly #options: RunOptions;
  readonly #time = new VirtualTime();
  readonly #outcomes = new Outcomes();
  readonly #random;
  readonly #planner = new CapacityPlanner(CAPACITY_DEFAULTS);
  readonly #vms = new Map<string, SimulatedVm>();
  readonly #entries: SimulatedEntry[];
  #startsRefusedUntil = 0;
  #demand = 0;

  constructor(options: RunOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#entries = Array.from(
      { length: ENTRY_COUNT },
      (_, index) =>
        new SimulatedEntry({
          name: `entry-${index}`,
          policy: options.policy,
          time: this.#time,
          outcomes: this.#outcomes,
          findVm: (name) => this.#vms.get(name),
          onBlocksCached: (vm, blocks) => this.#sendCacheEvent(vm, blocks),
          entries: ENTRY_COUNT,
        }),
    );
  }

  execute(): PolicyResult {
    const { workload, scenario, fixedDemand } = this.#options;
    this.#demand = fixedDemand ?? workload.rate * INITIAL_REQUEST_SECONDS;
    this.#plan({ startTime: 0 });
    this.#time.every(TICK_INTERVAL_MS, () => this.#tick());
    this.#time.every(ANNOUNCE_INTERVAL_MS, () => this.#announceAll());
    if (fixedDemand === undefined) {
      this.#time.every(PLAN_INTERVAL_MS, () => this.#updateDemand());
    }
    if (scenario.zoneReclaim !== undefined) {
      const { zone, at } = scenario.zoneReclaim;
      this.#time.schedule(() => this.#reclaimZone(zone), at);
    }
    const generator = new RequestGenerator(workload, this.#random);
    this.#time.schedule(
      () => this.#scheduleNextRequest(generator),
      FIRST_REQUEST_AT_MS,
    );
    this.#time.run(DURATION_MS);
    return this.#summarize();
  }

  #summarize(): PolicyResult {
    let cost = 0;
    for (const vm of this.#vms.values()) {
      cost += vm.costUntil(DURATION_MS);
    }
    let unfinished = 0;
    for (const entry of this.#entries) {
      unfinished += entry.unfinishedCount;
    }
    return this.#outcomes.summarize(cost, unfinished);
  }

  #scheduleNextRequest(generator: RequestGenerator): void {
    const load = this.#options.scenario.load(this.#time.now);
    this.#time.schedule(() => {
      const index = Math.floor(this.#random() * ENTRY_COUNT);
      this.#entries[index]!.offer(generator.nextRequest(this.#time.now));
      this.#scheduleNextRequest(generator);
    }, generator.nextInterval(load));
  }

  #tick(): void {
    for (const entry of this.#entries) {
      entry.tick();
    }
  }

  #announceAll(): void {
    for (const vm of this.#vms.values()) {
      if (vm.isUp) {
        this.#announce(vm);
      }
    }
  }

  #announce(vm: SimulatedVm): void {
    const announcement = vm.createAnnouncement();
    this.#time.schedule(() => {
      for (const entry of this.#entries) {
        entry.handleAnnouncement(announcement);
      }
    }, ANNOUNCE_DELAY_MS);
  }

  #sendCacheEvent(vm: SimulatedVm, blocks: string[]): void {
    vm.cacheSequence += 1;
    const sequence = vm.cacheSequence;
    if (this.#random() < (this.#options.scenario.cacheEventLoss ?? 0)) {
      return;
    }
    this.#time.schedule(() => {
      for (const entry of this.#entries) {
        entry.applyCacheEvent(vm.name, sequence, blocks);
      }
    }, CACHE_EVENT_DELAY_MS);
  }

  #updateDemand(): void {
    let inFlight = 0;
    for (const vm of this.#vms.values()) {
      inFlight += vm.isUp ? vm.engine.running + vm.engine.waiting : 0;
    }
    for (const entry of this.#entries) {
      inFlight += entry.waiting;
    }
    // The estimate rises quickly and falls slowly, so that VMs are kept between
    // two load peaks.
    const smoothing = inFlight > this.#demand ? 0.5 : 0.05;
    this.#demand += smoothing * (inFlight - this.#demand);
    this.#plan({ startTime: VM_START_TIME_MS });
  }

  #plan(options: { startTime: number }): void {
    const { now } = this.#time;
    for (let round = 0; round < 20; round += 1) {
      const vms = [...this.#vms.values()].map((vm) => vm.held);
      const situation = { demand: this.#demand, vms, offers: this.#offers() };
      const effects = this.#planner.plan(situation, now);
      for (const effect of effects) {
        if (effect.kind === "start") {
          this.#startVm(effect.offer, options.startTime);
        } else {
          this.#stopVm(effect.vm);
        }
      }
      if (effects.length === 0 || effects[0]!.kind === "stop") {
        return;
      }
    }
  }

  #offers(): Offer[] {
    const onDemand = ZONES.map(({ zone }) => ({
      zone,
      vmClass: "on_demand" as const,
      price: ON_DEMAND_PRICE,
      slots: SLOTS_PER_VM,
    }));
    if (this.#options.policy.usesOnlyOnDemand) {
      return onDemand;
    }
    const reclaimable = ZONES.map(({ zone, price }) => ({
      zone,
      vmClass: "reclaimable" as const,
      price,
      slots: SLOTS_PER_VM,
    }));
    return [...reclaimable, ...onDemand];
  }

  #startVm(offer: Offer, startTime: number): void {
    const isRefused = offer.vmClass === "reclaimable" &&
      this.#time.now < this.#startsRefusedUntil;
    if (isRefused) {
      this.#planner.recordStartRefusal(offer, this.#time.now);
      return;
    }
    this.#planner.recordStart(offer);
    const index = this.#vms.size;
    const slowdown = index === 1
      ? this.#options.scenario.decodeSlowdown ?? 1
      : 1;
    const vm = new SimulatedVm(`vm-${index}`, {
      offer,
      time: this.#time,
      decodeSlowdown: slowdown,
    });
    this.#vms.set(vm.name, vm);
    this.#time.schedule(() => {
      if (vm.state === "starting") {
        vm.state = "serving";
        this.#announce(vm);
      }
    }, startTime);
  }

  /** Drains a VM and terminates it once it is idle. */
  #stopVm(name: string): void {
    const vm = this.#vms.get(name)!;
    vm.startDeparture(60_000);
    this.#announce(vm);
    const terminateIfIdle = () => {
      if (vm.engine.running + vm.engine.waiting === 0) {
        this.#terminateVm(vm);
        return;
      }
      this.#time.schedule(terminateIfIdle, PLAN_INTERVAL_MS);
    };
    this.#time.schedule(terminateIfIdle, PLAN_INTERVAL_MS);
  }

  /** Reclaims all reclaimable VMs of a zone; its on-demand VMs keep running. */
  #reclaimZone(zone: string): void {
    if (this.#options.scenario.refusesVmStarts) {
      this.#startsRefusedUntil = this.#time.now + START_REFUSAL_MS;
    }
    for (const vm of this.#vms.values()) {
      const { offer } = vm;
      const isReclaimed = vm.isUp && offer.zone === zone &&
        offer.vmClass === "reclaimable";
      if (isReclaimed) {
        vm.startDeparture(RECLAIM_NOTICE_MS);
        this.#announce(vm);
        this.#time.schedule(() => this.#terminateVm(vm), RECLAIM_NOTICE_MS);
      }
    }
    this.#plan({ startTime: VM_START_TIME_MS });
  }

  #terminateVm(vm: SimulatedVm): void {
    vm.terminate();
    for (const entry of this.#entries) {
      entry.failAttempts(vm.name);
    }
    this.#time.schedule(() => {
      for (const entry of this.#entries) {
        entry.removeUpstream(vm.name);
      }
    }, LEASE_EXPIRY_DELAY_MS);
  }
}
