import type { Milliseconds } from "@heroncleat/base";
import type { ClassDemand } from "./class_demand.ts";
import { dividePermits } from "./divide_permits.ts";
import type { RequestClass } from "./request_class.ts";
import { PermitClaim } from "./permit_claim.ts";
import { SlidingWindowSum } from "./sliding_window_sum.ts";

/** Window over which demand is compared with the permits issued. */
const WINDOW: Milliseconds = 2000;
const SECOND: Milliseconds = 1000;
/** Maximum number of classes of a service; any others aren't told apart. */
const MAX_CLASSES = 500;
/** Permits by which a class may lag behind its share before others yield to it. */
const MIN_LAG = 0.5;

/** Demand and permits of one class in the window. */
type ClassState = {
  readonly priority: number;
  readonly demand: SlidingWindowSum;
  readonly granted: SlidingWindowSum;
};

/**
 * Which classes of requests get the permits of a service whose upstreams all
 * state rate limits: by priority, and evenly among the workspaces of one
 * priority. A class beyond its share yields only to one that lacks permits.
 *
 * @internal
 */
export class PermitShares {
  readonly #services = new Map<string, Map<string, ClassState>>();

  recordDemand(demand: readonly ClassDemand[], now: Milliseconds): void {
    for (const each of demand) {
      this.#stateOf(each)?.demand.add(each.count, now);
    }
  }

  recordGrant(requestClass: RequestClass, now: Milliseconds): void {
    this.#stateOf(requestClass)?.granted.add(1, now);
  }

  /**
   * The claim of a class to a permit now.
   *
   * @param options.rate Requests per second that the service's upstreams accept.
   */
  claimOf(
    requestClass: RequestClass,
    options: { readonly rate: number; readonly now: Milliseconds },
  ): PermitClaim {
    const { rate, now } = options;
    const own = this.#stateOf(requestClass);
    const states = [...this.#services.get(requestClass.service)!.values()];
    if (own === undefined || states.length === 1) {
      return PermitClaim.even;
    }
    const claims = states.map(({ priority, demand, granted }) => ({
      priority,
      demand: demand.sum(now),
      granted: granted.sum(now),
    }));
    const issued = claims.reduce((total, { granted }) => total + granted, 0);
    const supply = Math.max(issued, rate * WINDOW / SECOND);
    const shares = dividePermits(claims, supply);
    const isBehind = (index: number) =>
      claims[index]!.granted + MIN_LAG <= shares[index]!;
    const ownIndex = states.indexOf(own);
    if (isBehind(ownIndex)) {
      return PermitClaim.behind;
    }
    return states.some((_, index) => isBehind(index))
      ? PermitClaim.yields
      : PermitClaim.even;
  }

  /** Forgets the classes without requests in the window. */
  expire(now: Milliseconds): void {
    for (const [service, classes] of this.#services) {
      for (const [key, { demand, granted }] of classes) {
        if (demand.sum(now) <= 0 && granted.sum(now) <= 0) {
          classes.delete(key);
        }
      }
      if (classes.size === 0) {
        this.#services.delete(service);
      }
    }
  }

  #stateOf(requestClass: RequestClass): ClassState | undefined {
    const { service, priority, workspace } = requestClass;
    const classes = this.#services.get(service) ??
      new Map<string, ClassState>();
    this.#services.set(service, classes);
    const key = `${priority} ${workspace}`;
    const existing = classes.get(key);
    if (existing !== undefined || classes.size >= MAX_CLASSES) {
      return existing;
    }
    const state: ClassState = {
      priority,
      demand: new SlidingWindowSum(WINDOW),
      granted: new SlidingWindowSum(WINDOW),
    };
    classes.set(key, state);
    return state;
  }
}
