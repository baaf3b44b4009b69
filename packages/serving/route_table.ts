import type { Milliseconds } from "@heroncleat/base";
import { quotaLimits } from "./quota_limits.ts";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";
import type { Service } from "./service.ts";
import type { ServingDocument } from "./serving_document.ts";
import type { Workspace } from "./workspace.ts";

/** Looks up the route, service and workspace of a request. @public */
export class RouteTable {
  readonly document: ServingDocument;
  readonly #routes = new Map<string, Map<string, Route>>();
  readonly #services = new Map<string, Service>();
  readonly #workspaces = new Map<string, Workspace>();
  readonly #quotaBuckets = new Set<string>();
  readonly #resumableServices = new Set<string>();

  constructor(document: ServingDocument) {
    this.document = document;
    for (const route of document.routes) {
      const host = route.host.toLowerCase();
      const routesByPrefix = this.#routes.get(host) ?? new Map<string, Route>();
      routesByPrefix.set(route.pathPrefix, route);
      this.#routes.set(host, routesByPrefix);
      for (const { service } of route.isResumable ? route.targets : []) {
        this.#resumableServices.add(service);
      }
    }
    for (const service of document.services) {
      this.#services.set(service.name, service);
    }
    for (const workspace of document.workspaces ?? []) {
      this.#quotaBuckets.add(workspace.name);
      this.#quotaBuckets.add(quotaLimits.excessName(workspace.name));
      for (const key of workspace.keys) {
        this.#workspaces.set(key, workspace);
      }
    }
  }

  /** Returns the route of the host with the longest matching path prefix. */
  findRoute(host: string, path: string): Route | undefined {
    const routesByPrefix = this.#routes.get(withoutPort(host).toLowerCase());
    if (routesByPrefix === undefined) {
      return undefined;
    }
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = routesByPrefix.get(path.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  findRouteNamed(name: string): Route | undefined {
    return this.document.routes.find((route) => route.name === name);
  }

  /**
   * Returns the tightest latency objective among a route and the streaming
   * routes to the same service with at least its priority. Load shedding uses
   * it, so that a longer objective gives no route an advantage over one of
   * higher priority.
   */
  tightestObjective(route: Route, service: string): Milliseconds {
    let tightest = route.latencyObjective;
    for (const other of this.document.routes) {
      const isCompeting = other.kind === RouteKind.streaming &&
        other.priority <= route.priority &&
        other.targets.some((target) => target.service === service);
      if (isCompeting) {
        tightest = Math.min(tightest, other.latencyObjective);
      }
    }
    return tightest;
  }

  findService(name: string): Service | undefined {
    return this.#services.get(name);
  }

  /** Whether streams of a service may be resumed. */
  hasResumableRoute(service: string): boolean {
    return this.#resumableServices.has(service);
  }

  /** Whether requests of a route require a valid key. */
  needsKey(route: Route): boolean {
    return this.document.workspaces !== undefined && !route.isPublic;
  }

  /** Whether charges to a bucket are charges to a workspace's quota. */
  isQuotaBucket(bucket: string): boolean {
    return this.#quotaBuckets.has(bucket);
  }

  findWorkspace(key: string): Workspace | undefined {
    return this.#workspaces.get(key);
  }
}

function withoutPort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon === -1 ? host : host.slice(0, colon);
}
