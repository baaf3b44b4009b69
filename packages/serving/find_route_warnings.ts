import type { DocumentFinding } from "./document_finding.ts";
import type { Route } from "./route.ts";
import { RouteKind } from "./route_kind.ts";
import type { Service } from "./service.ts";
import type { ServingDocument } from "./serving_document.ts";

/** Finds routes that can't match and limits of routes that contradict. */
export function findRouteWarnings(
  document: ServingDocument,
): readonly DocumentFinding[] {
  const services = new Map(
    document.services.map((service) => [service.name, service]),
  );
  const routesByLocation = new Map<string, Route>();
  return document.routes.flatMap((route, index) => {
    const location = `${route.host.toLowerCase()} ${route.pathPrefix}`;
    const other = routesByLocation.get(location);
    routesByLocation.set(location, route);
    const problems = [
      ...findMatchProblems(route, other),
      ...findTimeProblems(route),
      ...findTargetProblems(route),
      ...findAttemptProblems(route, services),
    ];
    return problems.map(({ field, problem }) => ({
      severity: "warning" as const,
      path: `routes[${index}].${field}`,
      message: `Route ${route.name}: ${problem}`,
    }));
  });
}

type FieldProblem = { readonly field: string; readonly problem: string };

function findMatchProblems(
  route: Route,
  other: Route | undefined,
): FieldProblem[] {
  const problems: FieldProblem[] = [];
  if (other !== undefined && other.host !== route.host) {
    problems.push({
      field: "host",
      problem: `it replaces route ${other.name}, whose host differs in case ` +
        "only. Remedy: remove one or change its prefix.",
    });
  }
  // A request's host is compared without its port.
  if (/:\d+$/.test(route.host)) {
    problems.push({
      field: "host",
      problem: "no request matches a host with a port. Remedy: remove it.",
    });
  }
  if (/[?#\s]/.test(route.pathPrefix)) {
    problems.push({
      field: "pathPrefix",
      problem: "no path contains ?, # or white space. Remedy: remove it.",
    });
  }
  return problems;
}

function findTimeProblems(route: Route): FieldProblem[] {
  if (route.latencyObjective <= 0) {
    return [{
      field: "latencyObjective",
      problem: "the objective is not above 0. Remedy: set it in milliseconds.",
    }];
  }
  if (route.timeout < route.latencyObjective) {
    return [{
      field: "timeout",
      problem: `the timeout (${route.timeout} ms) is under the objective ` +
        `(${route.latencyObjective} ms). Remedy: raise the timeout.`,
    }];
  }
  return [];
}

function findTargetProblems(route: Route): FieldProblem[] {
  return route.targets.flatMap(({ service, weight }, index) =>
    weight === 0
      ? [{
        field: `targets[${index}].weight`,
        problem: `service ${service} has a weight of 0 and gets no requests. ` +
          "Remedy: raise the weight or remove the target.",
      }]
      : []
  );
}

function findAttemptProblems(
  route: Route,
  services: ReadonlyMap<string, Service>,
): FieldProblem[] {
  const { kind, maxAttempts, isResumable } = route;
  if (maxAttempts <= 1) {
    return [];
  }
  const problems: FieldProblem[] = [];
  if (kind === RouteKind.nonIdempotent) {
    problems.push({
      field: "maxAttempts",
      problem: "requests may run only once, so that further attempts follow " +
        "only rejections before a run. Remedy: set maxAttempts to 1 unless " +
        "this is meant.",
    });
  }
  if (kind === RouteKind.streaming && !isResumable) {
    problems.push({
      field: "maxAttempts",
      problem: "streams with several attempts are not resumable. " +
        "Remedy: make the route resumable or set maxAttempts to 1.",
    });
  }
  const upstreams = countUpstreams(route, services);
  if (maxAttempts > upstreams) {
    problems.push({
      field: "maxAttempts",
      problem: `${maxAttempts} attempts are more than the ${upstreams} ` +
        "upstreams that its services may have. Remedy: lower maxAttempts or " +
        "raise scale.max.",
    });
  }
  return problems;
}

/** Infinity if a service has no scale, since its upstreams are not counted. */
function countUpstreams(
  route: Route,
  services: ReadonlyMap<string, Service>,
): number {
  let count = 0;
  for (const target of route.targets) {
    const scale = services.get(target.service)?.scale;
    if (scale === undefined) {
      return Infinity;
    }
    count += scale.max * Object.keys(scale.zonePrices).length;
  }
  return count;
}
