import { timerDelay } from "@heroncleat/base";
import type { EngineProfile } from "./engine_profile.ts";
import type { Route } from "./route.ts";
import type { ScaleLimits } from "./scale_limits.ts";
import type { Service } from "./service.ts";
import type { ServingDocument } from "./serving_document.ts";
import type { Workspace } from "./workspace.ts";

/** Beyond these, sums and products over a window may not be finite. */
const MAX_QUOTA = 1e12;
const MAX_CHARGE = 1e9;
const MAX_WEIGHT = 1e9;
const MAX_PRICE = 1e9;
const MAX_COUNT = 1e6;
const MAX_TOKENS = 1e12;
const MAX_PRIORITY = 1000;

/**
 * Limits the numbers of a configuration document to those that can be computed
 * with. A replica of another release may have accepted others; see
 * `findDocumentErrors` for those that are rejected.
 *
 * @public
 */
export function limitDocumentNumbers(
  document: ServingDocument,
): ServingDocument {
  return {
    ...document,
    // Stored documents of other releases may lack lists.
    routes: document.routes?.map(limitRoute) ?? [],
    services: document.services?.map(limitService) ?? [],
    workspaces: document.workspaces?.map(limitWorkspace),
  };
}

function limitRoute(route: Route): Route {
  return {
    ...route,
    timeout: timerDelay(route.timeout),
    latencyObjective: timerDelay(route.latencyObjective),
    priority: limitInteger(route.priority, { min: 0, max: MAX_PRIORITY }),
    targets: route.targets.map(({ service, weight }) => ({
      service,
      weight: limit(weight, MAX_WEIGHT),
    })),
  };
}

function limitService(service: Service): Service {
  const { maxConnections, engine, scale } = service;
  return {
    ...service,
    maxConnections: limit(maxConnections, MAX_COUNT),
    engine: engine && limitEngine(engine),
    scale: scale && limitScale(scale),
  };
}

function limitEngine(engine: EngineProfile): EngineProfile {
  return {
    ...engine,
    slots: limitInteger(engine.slots, { min: 1, max: MAX_COUNT }),
    kvCapacityTokens: limit(engine.kvCapacityTokens, MAX_TOKENS),
    kvTokenBytes: limit(engine.kvTokenBytes, MAX_TOKENS),
    linkMbps: limit(engine.linkMbps, MAX_TOKENS),
  };
}

function limitScale(scale: ScaleLimits): ScaleLimits {
  const prices = Object.entries(scale.zonePrices).map(([zone, price]) =>
    [zone, limit(price, MAX_PRICE)] as const
  );
  return {
    min: limitInteger(scale.min, { min: 0, max: MAX_COUNT }),
    max: limitInteger(scale.max, { min: 0, max: MAX_COUNT }),
    bootTime: timerDelay(scale.bootTime),
    spotPrice: limit(scale.spotPrice, MAX_PRICE),
    zonePrices: Object.fromEntries(prices),
  };
}

function limitWorkspace(workspace: Workspace): Workspace {
  const { priority, rate, burst, defaultCharge } = workspace;
  return {
    ...workspace,
    priority: priority === undefined
      ? undefined
      : limitInteger(priority, { min: 0, max: MAX_PRIORITY }),
    rate: limit(rate, MAX_QUOTA),
    burst: limit(burst, MAX_QUOTA),
    defaultCharge: limit(defaultCharge, MAX_CHARGE),
  };
}

function limit(value: number, max: number): number {
  return Math.min(max, Math.max(0, value));
}

function limitInteger(
  value: number,
  { min, max }: { min: number; max: number },
): number {
  return Math.floor(Math.min(max, Math.max(min, value)));
}
