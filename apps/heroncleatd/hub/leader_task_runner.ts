import { type Clock, type Milliseconds, ownValue } from "@heroncleat/base";
import { isInProgress, type RolloutRegistry } from "@heroncleat/rollouts";
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
import type {
  LeaderTaskCalls,
  LeaderTaskHolder,
  LeaderTaskOutcome,
} from "./leader_task_calls.ts";
import type { Leadership } from "./replica_group.ts";
import type { ServingCommand } from "./serving_command.ts";

const RUN_INTERVAL: Milliseconds = 200;
const FLEET_LOG_INTERVAL: Milliseconds = 2000;
/** Share of the report delay after which a usage window is settled. */
const SETTLE_DELAY_SHARE = 0.4;
/** Number of past windows that are checked for missing reports. */
const LOOKBACK_WINDOWS = 6;
/** Time without a heartbeat after which the fleet plan ignores an upstream. */
const HEARTBEAT_TIMEOUT: Milliseconds = 3500;
/** Time until upstreams that stopped at the end of a rollout aren't counted. */
const ROLLOUT_COOLDOWN: Milliseconds = 5000;

type RunnerOptions = {
  readonly name: string;
  readonly hub: Hub;
  readonly clock: Clock;
  readonly log: Log;
  readonly calls: LeaderTaskCalls;
  readonly leadership: () => Leadership | undefined;
  readonly propose: (command: ServingCommand) => Promise<{ kind: string }>;
  readonly settled: () => ReadonlyMap<number, WorkspaceCounts>;
  readonly services: () => readonly Service[];
  readonly rollouts: () => RolloutRegistry;
  readonly fleet: FleetSettings;
  /** Whether this process is part of the first start of the whole system. */
  readonly isFirstStart: boolean;
  readonly usageWindow: Milliseconds;
  readonly usageDelay: Milliseconds;
  readonly leaderTaskLease: Milliseconds;
};

/**
 * Runs the leader tasks: reports the usage of each window and orders upstreams.
 * Only the leader of the group runs them, with its term as the fencing token.
 */
export class LeaderTaskRunner {
  readonly #options: RunnerOptions;
  readonly #timer: NodeJS.Timeout;
  readonly #planners = new Map<string, FleetPlanner>();
  readonly #reportedWindows = new Set<number>();
  #term = 0;
  #leaderSince: Milliseconds = 0;
  #fencedTerm = 0;
  #isRunning = false;
  #fleetLoggedAt = -Infinity;
  /** Whether this is the first start and no request has arrived yet. */
  #isIdle: boolean;

  constructor(options: RunnerOptions) {
    this.#options = options;
    this.#isIdle = options.isFirstStart;
    this.#timer = setInterval(() => void this.#runTasks(), RUN_INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  async #runTasks(): Promise<void> {
    this.#observeLoad();
    if (this.#isRunning || this.#activeHolder() === undefined) {
      return;
    }
    this.#isRunning = true;
    try {
      await this.#orderFleet();
      await this.#reportUsage();
    } catch (error) {
      this.#options.log.error("A leader task failed", { error: String(error) });
    } finally {
      this.#isRunning = false;
    }
  }

  /**
   * Returns the holder if this replica may act now; checked again before each
   * call. A new leader waits first, so that two holders never act within one
   * lease of the leader tasks.
   */
  #activeHolder(): LeaderTaskHolder | undefined {
    const { leadership, clock, leaderTaskLease, name, log } = this.#options;
    const current = leadership();
    const now = clock.steady();
    if (current === undefined || current.term === this.#fencedTerm) {
      return undefined;
    }
    if (current.term !== this.#term) {
      this.#term = current.term;
      this.#leaderSince = now;
      log.info("Takes over the leader tasks", { fencingToken: current.term });
    }
    const mayAct =
      now - this.#leaderSince > leaderTaskLease * TAKEOVER_WAIT_SHARE ||
      this.#isFirstTerm(current.term);
    return mayAct ? { name, fencingToken: current.term } : undefined;
  }

  /** In the first term no earlier leader can still hold a lease. */
  #isFirstTerm(term: number): boolean {
    return term === 1;
  }

  /** Logs the input of the fleet plan at a fixed interval. */
  #logFleet(
    upstreams: readonly UpstreamRecord[],
    loads: Readonly<Record<string, UpstreamLoad>>,
  ): void {
    const { hub, clock } = this.#options;
    const now = clock.steady();
    if (now - this.#fleetLoggedAt < FLEET_LOG_INTERVAL) {
      return;
    }
    this.#fleetLoggedAt = now;
    let requests = 0;
    let backlog = 0;
    for (const load of Object.values(loads)) {
      requests += load.requests;
      backlog += load.backlog;
    }
    const scalableServices = new Set(
      this.#options.services().filter(({ scale }) => scale !== undefined)
        .map(({ name }) => name),
    );
    const readyUpstreams = upstreams.filter(({ state, service }) =>
      state === "ready" && scalableServices.has(service)
    );
    this.#options.log.info("Fleet", {
      spot: readyUpstreams.filter(({ isSpot }) => isSpot).length,
      others: readyUpstreams.filter(({ isSpot }) => !isSpot).length,
      requests,
      backlog,
      clockAhead: Math.round(
        clock.wall() - (hub.estimateWallTime(now) ?? clock.wall()),
      ),
      readWork: Math.round(sum(Object.values(hub.totalPrefillWork()))),
    });
  }

  /**
   * Runs on every replica, so that a new leader already has the load history.
   */
  #observeLoad(): void {
    const { clock, hub, services } = this.#options;
    const now = clock.steady();
    const upstreams = this.#listLiveUpstreams();
    const loads = hub.totalLoads(now);
    const readWork = hub.totalPrefillWork();
    const prefillSpeeds = hub.readingSpeeds(now);
    const hasWork = Object.values(readWork).some((work) => work > 0);
    this.#isIdle &&= !hasWork && Object.keys(loads).length === 0;
    this.#logFleet(upstreams, loads);
    for (const service of services()) {
      this.#getOrCreatePlanner(service).observe({
        requests: countRequests(service, { upstreams, loads }),
        readWork: ownValue(readWork, service.name) ?? 0,
        prefillSpeed: ownValue(prefillSpeeds, service.name),
      }, now);
    }
  }

  async #orderFleet(): Promise<void> {
    const upstreams = this.#listLiveUpstreams();
    const orders: Promise<void>[] = [];
    for (const service of this.#options.services()) {
      if (this.#isRolledOut(service)) {
        continue;
      }
      const planner = this.#getOrCreatePlanner(service);
      const now = this.#options.clock.steady();
      const isIdle = this.#isIdle;
      for (const order of planner.plan({ upstreams, isIdle, now })) {
        orders.push(this.#placeOrder(order, planner));
      }
    }
    await Promise.all(orders);
  }

  /**
   * Whether upstreams of two versions are there, so that their number says
   * nothing about what the service needs.
   */
  #isRolledOut({ name }: Service): boolean {
    const { hub, clock, rollouts } = this.#options;
    const rollout = rollouts().get(name);
    if (rollout === undefined) {
      return false;
    }
    const wall = hub.estimateWallTime(clock.steady()) ?? clock.wall();
    return isInProgress(rollout) || wall - rollout.stageAt < ROLLOUT_COOLDOWN;
  }

  #getOrCreatePlanner(service: Service): FleetPlanner {
    const existing = this.#planners.get(service.name);
    if (existing !== undefined) {
      existing.updateService(service);
      return existing;
    }
    const { clock, fleet } = this.#options;
    const planner = new FleetPlanner(service, {
      settings: fleet,
      now: clock.steady(),
    });
    this.#planners.set(service.name, planner);
    return planner;
  }

  async #placeOrder(order: FleetOrder, planner: FleetPlanner): Promise<void> {
    const holder = this.#activeHolder();
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
    this.#recordFencing(outcome, holder);
  }

  #listLiveUpstreams(): UpstreamRecord[] {
    const { hub, clock } = this.#options;
    const live: UpstreamRecord[] = [];
    for (const { record, receivedAt } of hub.directory.list()) {
      if (clock.steady() - receivedAt < HEARTBEAT_TIMEOUT) {
        live.push(record);
      }
    }
    return live;
  }

  async #reportUsage(): Promise<void> {
    const { hub, clock, usageWindow, usageDelay, settled } = this.#options;
    const wall = hub.estimateWallTime(clock.steady());
    if (wall === undefined) {
      return;
    }
    const endWindow = Math.floor(
      (wall - usageDelay * SETTLE_DELAY_SHARE) / usageWindow,
    );
    for (
      let window = endWindow - LOOKBACK_WINDOWS;
      window < endWindow;
      window += 1
    ) {
      if (this.#reportedWindows.has(window)) {
        continue;
      }
      if (!settled().has(window)) {
        await this.#settleWindow(window, wall);
      }
      const counts = settled().get(window);
      if (counts !== undefined) {
        await this.#reportWindow(window, counts);
      }
    }
    hub.dropUsageBefore(endWindow - 2 * LOOKBACK_WINDOWS);
  }

  async #settleWindow(window: number, wall: Milliseconds): Promise<void> {
    const { hub, usageWindow, usageDelay, propose } = this.#options;
    const counts = hub.usageInWindow(window);
    const isLate = wall - (window + 1) * usageWindow > usageDelay;
    // No usage was counted, for example because the window ended before this
    // process started.
    if (isLate && Object.keys(counts).length === 0) {
      this.#reportedWindows.add(window);
      return;
    }
    await propose({ kind: "settle_usage", window, counts });
  }

  async #reportWindow(window: number, counts: WorkspaceCounts): Promise<void> {
    const holder = this.#activeHolder();
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
      this.#reportedWindows.add(window);
    }
    this.#recordFencing(outcome, holder);
  }

  #recordFencing(outcome: LeaderTaskOutcome, holder: LeaderTaskHolder): void {
    if (outcome === "fenced") {
      this.#fencedTerm = holder.fencingToken;
      this.#options.log.warn("A later holder has taken over the leader tasks", {
        fencingToken: holder.fencingToken,
      });
    }
  }
}

function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}

/** Share of the leader-task lease that a new holder waits before it acts. */
const TAKEOVER_WAIT_SHARE = 0.55;

/** Counts the requests in flight at the upstreams of a service. */
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
      requests += ownValue(options.loads, record.id)?.requests ?? 0;
    }
  }
  return requests;
}
