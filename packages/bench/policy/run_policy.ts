import { createSeededRandom } from "@heroncleat/base";
import {
  CAPACITY_DEFAULTS,
  CapacityPlanner,
  type Offer,
} from "@heroncleat/capacity";
import { VirtualTime } from "../virtual_time.ts";
import { CallerStream } from "./caller_stream.ts";
import { Outcomes } from "./outcomes.ts";
import type { Policy } from "./policy.ts";
import type { PolicyResult } from "./policy_result.ts";
import type { Scenario } from "./scenario.ts";
import { SimulatedEntry } from "./simulated_entry.ts";
import { SimulatedVm } from "./simulated_vm.ts";
import type { Workload } from "./workload.ts";

/** What one run is made of. */
type RunOptions = {
  readonly policy: Policy;
  readonly scenario: Scenario;
  readonly workload: Workload;
  readonly seed: number;
  /** Keeps the first fleet, whatever the demand. */
  readonly fixedFleet?: number;
};

const DURATION = 160_000;
const ENTRIES = 3;
const SLOTS = 8;
const REPORT_INTERVAL = 500;
const REPORT_DELAY = 150;
const CACHE_EVENT_DELAY = 600;
const PLAN_INTERVAL = 5000;
const START_TIME = 40_000;
const NOTICE = 2000;
const REFUSED_FOR = 45_000;
const TICK = 20;
const LAPSE_DELAY = 1500;
/** Upstreams have announced themselves by then. */
const FIRST_CALL = 1000;
/** Requests a VM carries at once in calm times, for the first plan. */
const FIRST_DEMAND_SHARE = 3;

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

/** The cloud, the entries and the callers of one run. */
class PolicyRun {
  readonly #options: RunOptions;
  readonly #time = new VirtualTime();
  readonly #outcomes = new Outcomes();
  readonly #random;
  readonly #planner = new CapacityPlanner(CAPACITY_DEFAULTS);
  readonly #vms = new Map<string, SimulatedVm>();
  readonly #entries: SimulatedEntry[];
  #refusedUntil = 0;
  #demand = 0;

  constructor(options: RunOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#entries = Array.from(
      { length: ENTRIES },
      (_, place) =>
        new SimulatedEntry({
          name: `entry-${place}`,
          policy: options.policy,
          time: this.#time,
          outcomes: this.#outcomes,
          findVm: (name) => this.#vms.get(name),
          onCached: (vm, blocks) => this.#spreadCache(vm, blocks),
          entries: ENTRIES,
        }),
    );
  }

  execute(): PolicyResult {
    const { workload, scenario, fixedFleet } = this.#options;
    this.#demand = fixedFleet ?? workload.rate * FIRST_DEMAND_SHARE;
    this.#plan({ startTime: 0 });
    this.#time.every(TICK, () => this.#tick());
    this.#time.every(REPORT_INTERVAL, () => this.#report());
    if (fixedFleet === undefined) {
      this.#time.every(PLAN_INTERVAL, () => this.#followDemand());
    }
    if (scenario.wave !== undefined) {
      const { zone, at } = scenario.wave;
      this.#time.schedule(() => this.#takeZone(zone), at);
    }
    const callers = new CallerStream(workload, this.#random);
    this.#time.schedule(() => this.#nextCall(callers), FIRST_CALL);
    this.#time.run(DURATION);
    return this.#summarize();
  }

  #summarize(): PolicyResult {
    let cost = 0;
    for (const vm of this.#vms.values()) {
      cost += vm.costUntil(DURATION);
    }
    let unfinished = 0;
    for (const entry of this.#entries) {
      unfinished += entry.unfinished;
    }
    return this.#outcomes.summarize(cost, unfinished);
  }

  #nextCall(callers: CallerStream): void {
    const load = this.#options.scenario.load(this.#time.now);
    this.#time.schedule(() => {
      const place = Math.floor(this.#random() * ENTRIES);
      this.#entries[place]!.offer(callers.next(this.#time.now));
      this.#nextCall(callers);
    }, callers.nextGap(load));
  }

  #tick(): void {
    for (const entry of this.#entries) {
      entry.tick();
    }
  }

  #report(): void {
    for (const vm of this.#vms.values()) {
      if (vm.isUp) {
        this.#announce(vm);
      }
    }
  }

  #announce(vm: SimulatedVm): void {
    const announcement = vm.announce();
    this.#time.schedule(() => {
      for (const entry of this.#entries) {
        entry.receive(announcement);
      }
    }, REPORT_DELAY);
  }

  #spreadCache(vm: SimulatedVm, blocks: string[]): void {
    vm.cacheSequence += 1;
    const sequence = vm.cacheSequence;
    if (this.#random() < (this.#options.scenario.cacheLoss ?? 0)) {
      return;
    }
    this.#time.schedule(() => {
      for (const entry of this.#entries) {
        entry.hearCache(vm.name, sequence, blocks);
      }
    }, CACHE_EVENT_DELAY);
  }

  #followDemand(): void {
    let busy = 0;
    for (const vm of this.#vms.values()) {
      busy += vm.isUp ? vm.engine.running + vm.engine.waiting : 0;
    }
    for (const entry of this.#entries) {
      busy += entry.waiting;
    }
    // Fast up, slow down: a peak must not find the fleet just given back.
    const weight = busy > this.#demand ? 0.5 : 0.05;
    this.#demand += weight * (busy - this.#demand);
    this.#plan({ startTime: START_TIME });
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
      slots: SLOTS,
    }));
    if (this.#options.policy.onDemandOnly) {
      return onDemand;
    }
    const reclaimable = ZONES.map(({ zone, price }) => ({
      zone,
      vmClass: "reclaimable" as const,
      price,
      slots: SLOTS,
    }));
    return [...reclaimable, ...onDemand];
  }

  #startVm(offer: Offer, startTime: number): void {
    const refused = offer.vmClass === "reclaimable" &&
      this.#time.now < this.#refusedUntil;
    if (refused) {
      this.#planner.recordStartRefusal(offer, this.#time.now);
      return;
    }
    this.#planner.recordStart(offer);
    const place = this.#vms.size;
    const slow = place === 1 ? this.#options.scenario.slowUpstream ?? 1 : 1;
    const vm = new SimulatedVm(`vm-${place}`, {
      offer,
      time: this.#time,
      slowness: slow,
    });
    this.#vms.set(vm.name, vm);
    this.#time.schedule(() => {
      if (vm.state === "starting") {
        vm.state = "serving";
        this.#announce(vm);
      }
    }, startTime);
  }

  /** A planned stop: no new work, and gone once idle. */
  #stopVm(name: string): void {
    const vm = this.#vms.get(name)!;
    vm.announceLeave(60_000);
    this.#announce(vm);
    const check = () => {
      if (vm.engine.running + vm.engine.waiting === 0) {
        this.#endVm(vm);
        return;
      }
      this.#time.schedule(check, PLAN_INTERVAL);
    };
    this.#time.schedule(check, PLAN_INTERVAL);
  }

  /** On-demand VMs stay when a zone's reclaimable ones are taken. */
  #takeZone(zone: string): void {
    if (this.#options.scenario.startsRefused) {
      this.#refusedUntil = this.#time.now + REFUSED_FOR;
    }
    for (const vm of this.#vms.values()) {
      const { offer } = vm;
      const taken = vm.isUp && offer.zone === zone &&
        offer.vmClass === "reclaimable";
      if (taken) {
        vm.announceLeave(NOTICE);
        this.#announce(vm);
        this.#time.schedule(() => this.#endVm(vm), NOTICE);
      }
    }
    this.#plan({ startTime: START_TIME });
  }

  #endVm(vm: SimulatedVm): void {
    vm.end();
    for (const entry of this.#entries) {
      entry.breakStreams(vm.name);
    }
    this.#time.schedule(() => {
      for (const entry of this.#entries) {
        entry.lapse(vm.name);
      }
    }, LAPSE_DELAY);
  }
}
