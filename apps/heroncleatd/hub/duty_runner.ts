import type { Clock, Milliseconds } from "@heroncleat/base";
import {
  type FleetOrder,
  FleetPlanner,
  type FleetSettings,
  type Hub,
  type Service,
  type UpstreamLoad,
  type UpstreamRecord,
  type WorkspaceCounts,
} from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import type { DutyCalls, DutyHolder, DutyOutcome } from "./duty_calls.ts";
import type { Leadership } from "./replica_group.ts";
import type { ServingCommand } from "./serving_command.ts";

const INTERVAL: Milliseconds = 200;
const FLEET_LOG_INTERVAL: Milliseconds = 2000;
/** Part of the report delay after which a window is settled. */
const SETTLE_SHARE = 0.4;
/** Windows looked back for unreported ones. */
const LOOK_BACK = 6;
/** Silence after which an upstream counts as lost for the plan. */
const SILENT_AFTER: Milliseconds = 3500;

/** What the runner is built from. */
type RunnerOptions = {
  readonly name: string;
  readonly hub: Hub;
  readonly clock: Clock;
  readonly log: Log;
  readonly calls: DutyCalls;
  readonly leadership: () => Leadership | undefined;
  readonly propose: (command: ServingCommand) => Promise<{ kind: string }>;
  readonly settled: () => ReadonlyMap<number, WorkspaceCounts>;
  readonly services: () => readonly Service[];
  readonly fleet: FleetSettings;
  /** Whether the whole system starts with this process. */
  readonly isFirstStart: boolean;
  readonly usageWindow: Milliseconds;
  readonly usageDelay: Milliseconds;
  readonly dutyLease: Milliseconds;
};

/**
 * Carries out the duties that one process has at a time: reports the usage of
 * each window and orders upstreams. The leader of the group holds them, and
 * its term is the fencing token.
 */
export class DutyRunner {
  readonly #options: RunnerOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #planners = new Map<string, FleetPlanner>();
  readonly #reported = new Set<number>();
  #term = 0;
  #ledSince: Milliseconds = 0;
  #fencedTerm = 0;
  #isBusy = false;
  #loggedAt = -Infinity;
  /** Whether the system has just started and nobody asked anything yet. */
  #isIdle: boolean;

  constructor(options: RunnerOptions) {
    this.#options = options;
    this.#isIdle = options.isFirstStart;
    this.#timer = setInterval(() => void this.#look(), INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #look(): Promise<void> {
    this.#observeLoad();
    if (this.#isBusy || this.#holder() === undefined) {
      return;
    }
    this.#isBusy = true;
    try {
      await this.#orderFleet();
      await this.#reportUsage();
    } catch (error) {
      this.#options.log.error("A duty failed", { error: String(error) });
    } finally {
      this.#isBusy = false;
    }
  }

  /**
   * The own right to act, checked again before each call. A new leader waits,
   * so that holders never take turns within the duty's lease.
   */
  #holder(): DutyHolder | undefined {
    const { leadership, clock, dutyLease, name, log } = this.#options;
    const current = leadership();
    const now = clock.steady();
    if (current === undefined || current.term === this.#fencedTerm) {
      return undefined;
    }
    if (current.term !== this.#term) {
      this.#term = current.term;
      this.#ledSince = now;
      log.info("Takes over the duties", { fencingToken: current.term });
    }
    const mayAct = now - this.#ledSince > dutyLease * WAIT_SHARE ||
      this.#isFirstTerm(current.term);
    return mayAct ? { name, fencingToken: current.term } : undefined;
  }

  /** Nobody can have held a duty before the first term. */
  #isFirstTerm(term: number): boolean {
    return term === 1;
  }

  /** Says what the plan rests on, every few seconds. */
  #logFleet(
    upstreams: readonly UpstreamRecord[],
    loads: Readonly<Record<string, UpstreamLoad>>,
  ): void {
    const { hub, clock } = this.#options;
    const now = clock.steady();
    if (now - this.#loggedAt < FLEET_LOG_INTERVAL) {
      return;
    }
    this.#loggedAt = now;
    let requests = 0;
    let backlog = 0;
    for (const load of Object.values(loads)) {
      requests += load.requests;
      backlog += load.backlog;
    }
    const ordered = new Set(
      this.#options.services().filter(({ scale }) => scale !== undefined)
        .map(({ name }) => name),
    );
    const ready = upstreams.filter(({ state, service }) =>
      state === "ready" && ordered.has(service)
    );
    this.#options.log.info("Fleet", {
      spot: ready.filter(({ isSpot }) => isSpot).length,
      others: ready.filter(({ isSpot }) => !isSpot).length,
      requests,
      backlog,
      clockAhead: Math.round(
        clock.wall() - (hub.estimateWallTime(now) ?? clock.wall()),
      ),
      readWork: Math.round(sum(Object.values(hub.totalPrefillWork()))),
    });
  }

  /** Every replica follows the load, so that a new leader knows it. */
  #observeLoad(): void {
    const { clock, hub, services } = this.#options;
    const now = clock.steady();
    const upstreams = this.#presentUpstreams();
    const loads = hub.totalLoads(now);
    const readWork = hub.totalPrefillWork();
    const speeds = hub.readingSpeeds(now);
    const hasWork = Object.values(readWork).some((work) => work > 0);
    this.#isIdle &&= !hasWork && Object.keys(loads).length === 0;
    this.#logFleet(upstreams, loads);
    for (const service of services()) {
      this.#plannerOf(service).observe({
        requests: countRequests(service, { upstreams, loads }),
        readWork: readWork[service.name] ?? 0,
        prefillSpeed: speeds[service.name],
      }, now);
    }
  }

  async #orderFleet(): Promise<void> {
    const upstreams = this.#presentUpstreams();
    const orders: Promise<void>[] = [];
    for (const service of this.#options.services()) {
      const planner = this.#plannerOf(service);
      const now = this.#options.clock.steady();
      const isIdle = this.#isIdle;
      for (const order of planner.plan({ upstreams, isIdle, now })) {
        orders.push(this.#order(order, planner));
      }
    }
    await Promise.all(orders);
  }

  #plannerOf(service: Service): FleetPlanner {
    const known = this.#planners.get(service.name);
    if (known !== undefined) {
      known.updateService(service);
      return known;
    }
    const { clock, fleet } = this.#options;
    const planner = new FleetPlanner(service, {
      settings: fleet,
      now: clock.steady(),
    });
    this.#planners.set(service.name, planner);
    return planner;
  }

  async #order(order: FleetOrder, planner: FleetPlanner): Promise<void> {
    const holder = this.#holder();
    if (holder === undefined) {
      planner.recordUnknownOutcome(order);
      return;
    }
    const { calls, clock, log } = this.#options;
    const outcome = await calls.orderUpstreams(holder, order);
    log.info(`Ordered upstreams: ${outcome}`, {
      service: order.service,
      zone: order.zone,
      kind: order.isSpot ? "spot" : "on_demand",
      count: order.count,
      fencingToken: holder.fencingToken,
    });
    if (outcome === "accepted") {
      planner.recordAccepted(order);
    } else if (outcome === "refused") {
      planner.recordRefused(order, clock.steady());
    } else if (outcome === "unknown") {
      planner.recordUnknownOutcome(order);
    }
    this.#noteFenced(outcome, holder);
  }

  #presentUpstreams(): UpstreamRecord[] {
    const { hub, clock } = this.#options;
    const present: UpstreamRecord[] = [];
    for (const { record, receivedAt } of hub.directory.list()) {
      if (clock.steady() - receivedAt < SILENT_AFTER) {
        present.push(record);
      }
    }
    return present;
  }

  async #reportUsage(): Promise<void> {
    const { hub, clock, usageWindow, usageDelay, settled } = this.#options;
    const wall = hub.estimateWallTime(clock.steady());
    if (wall === undefined) {
      return;
    }
    const last = Math.floor((wall - usageDelay * SETTLE_SHARE) / usageWindow);
    for (let window = last - LOOK_BACK; window < last; window += 1) {
      if (this.#reported.has(window)) {
        continue;
      }
      if (!settled().has(window)) {
        await this.#settle(window, wall);
      }
      const counts = settled().get(window);
      if (counts !== undefined) {
        await this.#report(window, counts);
      }
    }
    hub.dropUsageBefore(last - 2 * LOOK_BACK);
  }

  async #settle(window: number, wall: Milliseconds): Promise<void> {
    const { hub, usageWindow, usageDelay, propose } = this.#options;
    const counts = hub.usageInWindow(window);
    const isLate = wall - (window + 1) * usageWindow > usageDelay;
    // Nothing was counted before this process began to listen.
    if (isLate && Object.keys(counts).length === 0) {
      this.#reported.add(window);
      return;
    }
    await propose({ kind: "settle_usage", window, counts });
  }

  async #report(window: number, counts: WorkspaceCounts): Promise<void> {
    const holder = this.#holder();
    if (holder === undefined) {
      return;
    }
    const { calls, log } = this.#options;
    const outcome = await calls.reportUsage(holder, { window, counts });
    log.info(`Reported usage: ${outcome}`, {
      window,
      fencingToken: holder.fencingToken,
    });
    if (outcome === "accepted") {
      this.#reported.add(window);
    }
    this.#noteFenced(outcome, holder);
  }

  #noteFenced(outcome: DutyOutcome, holder: DutyHolder): void {
    if (outcome === "fenced") {
      this.#fencedTerm = holder.fencingToken;
      this.#options.log.warn("A later holder has the duties", {
        fencingToken: holder.fencingToken,
      });
    }
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

/** Part of the duty's lease that a new holder waits before it acts. */
const WAIT_SHARE = 0.55;

/** Requests under way at the upstreams of a service. */
function countRequests(
  service: Service,
  options: {
    upstreams: readonly UpstreamRecord[];
    loads: Readonly<Record<string, UpstreamLoad>>;
  },
): number {
  let requests = 0;
  for (const record of options.upstreams) {
    if (record.service === service.name) {
      requests += options.loads[record.id]?.requests ?? 0;
    }
  }
  return requests;
}
