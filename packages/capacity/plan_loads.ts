import type { ModelDemand } from "./model_demand.ts";
import type { ModelHost } from "./model_host.ts";

/** A model to load on an upstream. */
type PlannedLoad = { readonly upstream: string; readonly model: string };

type LoadLimits = {
  /** Bytes that the weight store can transfer in one planning interval. */
  readonly storeBytes: number;
  /** Target copies of a model, preferably in different zones. */
  readonly copies: number;
};

/**
 * Plans which models to load on which upstreams. Transfers from the weight
 * store are limited, so loads are ordered by request rate per byte, divided by
 * one more than the number of copies that exist.
 *
 * @public
 */
export function planLoads(
  demands: readonly ModelDemand[],
  hosts: readonly ModelHost[],
  limits: LoadLimits,
): PlannedLoad[] {
  const planned: PlannedLoad[] = [];
  const freeBytes = new Map(
    hosts.map((host) => [host.upstream, host.freeBytes]),
  );
  let remainingBytes = limits.storeBytes;
  while (true) {
    const next = findBestLoad(demands, hosts, {
      ...limits,
      planned,
      freeBytes,
      remainingBytes,
    });
    if (next === undefined) {
      return planned;
    }
    planned.push({ upstream: next.host.upstream, model: next.demand.model });
    remainingBytes -= next.demand.bytes;
    const hostBytes = freeBytes.get(next.host.upstream)! - next.demand.bytes;
    freeBytes.set(next.host.upstream, hostBytes);
  }
}

/** The plan so far, with the bytes that remain. */
type PlanState = LoadLimits & {
  readonly planned: readonly PlannedLoad[];
  readonly freeBytes: ReadonlyMap<string, number>;
  /** Bytes that the weight store can still transfer. */
  readonly remainingBytes: number;
};

function findBestLoad(
  demands: readonly ModelDemand[],
  hosts: readonly ModelHost[],
  state: PlanState,
): { demand: ModelDemand; host: ModelHost } | undefined {
  let best: { demand: ModelDemand; host: ModelHost } | undefined;
  let bestValue = 0;
  for (const demand of demands) {
    const holders = hosts.filter((host) => hasModel(host, demand.model, state));
    if (holders.length >= state.copies || demand.bytes > state.remainingBytes) {
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

function hasModel(host: ModelHost, model: string, state: PlanState): boolean {
  return host.models.includes(model) ||
    state.planned.some((load) =>
      load.upstream === host.upstream && load.model === model
    );
}

/** Chooses the host with the most free bytes, preferably in a new zone. */
function chooseHost(
  demand: ModelDemand,
  hosts: readonly ModelHost[],
  options: { holders: readonly ModelHost[]; state: PlanState },
): ModelHost | undefined {
  const { holders, state } = options;
  const zones = new Set(holders.map((host) => host.zone));
  const freeBytesOf = (host: ModelHost) =>
    state.freeBytes.get(host.upstream) ?? 0;
  const eligible = hosts.filter((host) =>
    !holders.includes(host) && freeBytesOf(host) >= demand.bytes
  );
  const inOtherZones = eligible.filter((host) => !zones.has(host.zone));
  const pool = inOtherZones.length > 0 ? inOtherZones : eligible;
  let chosen: ModelHost | undefined;
  for (const host of pool) {
    if (chosen === undefined || freeBytesOf(host) > freeBytesOf(chosen)) {
      chosen = host;
    }
  }
  return chosen;
}
