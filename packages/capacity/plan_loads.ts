import type { ModelDemand } from "./model_demand.ts";
import type { ModelHost } from "./model_host.ts";

/** A model to load at an upstream. */
type PlannedLoad = { readonly upstream: string; readonly model: string };

/** What bounds the loads. */
type LoadLimits = {
  /** Bytes that the weight store gives in one planning interval. */
  readonly storeBytes: number;
  /** Copies of a model that should exist, in different zones. */
  readonly copies: number;
};

/**
 * Plans which models to load where. The weight store gives only so much at a
 * time, so loads go by value: requests a second that a byte makes servable,
 * the first copy of a model counting more than the second.
 *
 * @public
 */
export function planLoads(
  demands: readonly ModelDemand[],
  hosts: readonly ModelHost[],
  limits: LoadLimits,
): PlannedLoad[] {
  const planned: PlannedLoad[] = [];
  const free = new Map(hosts.map((host) => [host.upstream, host.freeBytes]));
  let left = limits.storeBytes;
  while (true) {
    const next = findBest(demands, hosts, { ...limits, planned, free, left });
    if (next === undefined) {
      return planned;
    }
    planned.push({ upstream: next.host.upstream, model: next.demand.model });
    left -= next.demand.bytes;
    const rest = free.get(next.host.upstream)! - next.demand.bytes;
    free.set(next.host.upstream, rest);
  }
}

/** What has been planned so far. */
type PlanState = LoadLimits & {
  readonly planned: readonly PlannedLoad[];
  readonly free: ReadonlyMap<string, number>;
  /** Bytes the store still gives. */
  readonly left: number;
};

function findBest(
  demands: readonly ModelDemand[],
  hosts: readonly ModelHost[],
  state: PlanState,
): { demand: ModelDemand; host: ModelHost } | undefined {
  let best: { demand: ModelDemand; host: ModelHost } | undefined;
  let bestValue = 0;
  for (const demand of demands) {
    const holders = hosts.filter((host) => holds(host, demand.model, state));
    if (holders.length >= state.copies || demand.bytes > state.left) {
      continue;
    }
    const host = chooseHost(demand, hosts, { holders, state });
    const value = demand.rate / demand.bytes / (1 + holders.length);
    if (host !== undefined && value > bestValue) {
      best = { demand, host };
      bestValue = value;
    }
  }
  return best;
}

function holds(host: ModelHost, model: string, state: PlanState): boolean {
  return host.models.includes(model) ||
    state.planned.some((load) =>
      load.upstream === host.upstream && load.model === model
    );
}

/** The host with most room, in a zone without the model where possible. */
function chooseHost(
  demand: ModelDemand,
  hosts: readonly ModelHost[],
  options: { holders: readonly ModelHost[]; state: PlanState },
): ModelHost | undefined {
  const { holders, state } = options;
  const zones = new Set(holders.map((host) => host.zone));
  const room = (host: ModelHost) => state.free.get(host.upstream) ?? 0;
  const fitting = hosts.filter((host) =>
    !holders.includes(host) && room(host) >= demand.bytes
  );
  const elsewhere = fitting.filter((host) => !zones.has(host.zone));
  const pool = elsewhere.length > 0 ? elsewhere : fitting;
  let chosen: ModelHost | undefined;
  for (const host of pool) {
    if (chosen === undefined || room(host) > room(chosen)) {
      chosen = host;
    }
  }
  return chosen;
}
