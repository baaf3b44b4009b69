import { type Milliseconds, ownValue } from "@heroncleat/base";
import type { Route } from "./route.ts";
import type { ServiceVersions } from "./service_versions.ts";
import type { StreamOrigin } from "./stream_origin.ts";
import { STREAM_RETENTION } from "./stream_retention.ts";

/** Time without a reply after which a replica's versions no longer count. */
const REPLICA_RETENTION: Milliseconds = STREAM_RETENTION;
/** Time without a reply after which a replica doesn't vouch for completeness. */
const VOUCHING_TIME: Milliseconds = 5000;
/** Attempts of a caller that follow each other at most, in route timeouts. */
const TIMEOUTS_PER_STREAM = 3;

/** The versions that one control replica sent. */
type ReplicaVersions = ServiceVersions & { readonly receivedAt: Milliseconds };

/** The targets of a route, and since when they have been in effect. */
type RouteTargets = {
  readonly services: string;
  readonly since: Milliseconds;
};

/**
 * Where the streams of a route that may still be resumed can have begun: the
 * control replicas list the versions, and the entry knows how long the route
 * has led to the same services.
 *
 * @public
 */
export class PossibleOrigins {
  readonly #replicas = new Map<string, ReplicaVersions>();
  readonly #routes = new Map<string, RouteTargets>();

  /**
   * Applies a reply of a control replica.
   *
   * @param versions Undefined if they are unchanged.
   */
  applyReply(
    replica: string,
    versions: ServiceVersions | undefined,
    now: Milliseconds,
  ): void {
    const earlier = this.#replicas.get(replica);
    const known = versions === undefined || versions.isComplete
      ? versions ?? earlier
      : { ...versions, versions: unite(versions, earlier) };
    if (known !== undefined) {
      this.#replicas.set(replica, { ...known, receivedAt: now });
    }
  }

  applyRoutes(routes: readonly Route[], now: Milliseconds): void {
    const names = new Set<string>();
    for (const route of routes) {
      names.add(route.name);
      const services = JSON.stringify(servicesOf(route));
      if (this.#routes.get(route.name)?.services !== services) {
        this.#routes.set(route.name, { services, since: now });
      }
    }
    for (const name of this.#routes.keys()) {
      if (!names.has(name)) {
        this.#routes.delete(name);
      }
    }
  }

  /**
   * Records that another entry has known a route with one origin for as long as
   * streams last. The versions are checked against the replicas' all the same.
   */
  adopt(route: Route, { service }: StreamOrigin): void {
    const known = this.#routes.get(route.name);
    if (known?.services === JSON.stringify([service])) {
      this.#routes.set(route.name, { ...known, since: -Infinity });
    }
  }

  /**
   * The only origin of the streams of a route; undefined if there are several,
   * or if this entry hasn't known the route or the versions for long enough.
   */
  only(route: Route, now: Milliseconds): StreamOrigin | undefined {
    const [service, ...others] = servicesOf(route);
    const since = this.#routes.get(route.name)?.since ?? Infinity;
    const isShort = route.timeout * TIMEOUTS_PER_STREAM <= STREAM_RETENTION;
    if (
      service === undefined || others.length > 0 || !isShort ||
      now - since < STREAM_RETENTION || !this.#isComplete(now)
    ) {
      return undefined;
    }
    const [version, ...otherVersions] = this.#versionsOf(service, now);
    return version === undefined || otherVersions.length > 0
      ? undefined
      : { service, version };
  }

  #isComplete(now: Milliseconds): boolean {
    for (const { isComplete, receivedAt } of this.#replicas.values()) {
      if (isComplete && now - receivedAt < VOUCHING_TIME) {
        return true;
      }
    }
    return false;
  }

  #versionsOf(service: string, now: Milliseconds): Set<string> {
    const union = new Set<string>();
    for (const [replica, { versions, receivedAt }] of this.#replicas) {
      if (now - receivedAt > REPLICA_RETENTION) {
        this.#replicas.delete(replica);
        continue;
      }
      for (const version of ownValue(versions, service) ?? []) {
        union.add(version);
      }
    }
    return union;
  }
}

/**
 * The versions that a replica lists and has listed: one that isn't complete may
 * have restarted, and lacks what it knew.
 */
function unite(
  { versions }: ServiceVersions,
  earlier: ServiceVersions | undefined,
): ServiceVersions["versions"] {
  const united = new Map(Object.entries(versions));
  for (const [service, listed] of Object.entries(earlier?.versions ?? {})) {
    const both = new Set([...united.get(service) ?? [], ...listed]);
    united.set(service, [...both]);
  }
  return Object.fromEntries(united);
}

function servicesOf({ targets }: Route): string[] {
  return targets.filter(({ weight }) => weight > 0)
    .map(({ service }) => service).sort();
}
