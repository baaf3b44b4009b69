import type { Route } from "./route.ts";
import type { ServingDocument } from "./serving_document.ts";

/**
 * Finds the first problem of a configuration document.
 *
 * @returns The problem with its remedy; undefined for a valid document.
 *
 * @public
 */
export function findDocumentProblem(
  document: ServingDocument,
): string | undefined {
  return findVersionProblem(document) ?? findRouteListProblem(document) ??
    findServiceProblem(document) ?? findKeyProblem(document);
}

function findVersionProblem(document: ServingDocument): string | undefined {
  if (!Number.isSafeInteger(document.version) || document.version < 0) {
    return "version is not an integer of 0 or more. Remedy: send a higher one.";
  }
}

function findRouteListProblem(document: ServingDocument): string | undefined {
  const services = new Set(document.services.map((service) => service.name));
  const routesByLocation = new Map<string, string>();
  for (const route of document.routes) {
    const location = `${route.host} ${route.pathPrefix}`;
    const other = routesByLocation.get(location);
    if (other !== undefined) {
      return `Routes ${other} and ${route.name} share host and prefix. ` +
        "Remedy: change the host or the prefix of one.";
    }
    routesByLocation.set(location, route.name);
    const problem = findRouteProblem(route, services);
    if (problem !== undefined) {
      return `Route ${route.name}: ${problem}`;
    }
  }
}

function findRouteProblem(
  route: Route,
  services: ReadonlySet<string>,
): string | undefined {
  if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
    return "pathPrefix lacks a slash. Remedy: begin and end it with one.";
  }
  if (!(route.timeout > 0)) {
    return "the timeout is not greater than 0. Remedy: set it in milliseconds.";
  }
  let total = 0;
  for (const target of route.targets) {
    if (!services.has(target.service)) {
      return `service ${target.service} is unknown. Remedy: define it.`;
    }
    if (!(target.weight >= 0)) {
      return "a weight is not 0 or more. Remedy: set it to 0 or more.";
    }
    total += target.weight;
  }
  if (!(total > 0)) {
    return "the weights add up to 0. Remedy: set at least one above 0.";
  }
}

function findServiceProblem(document: ServingDocument): string | undefined {
  const names = new Set<string>();
  for (const service of document.services) {
    if (names.has(service.name)) {
      return `Service ${service.name} is defined twice. Remedy: remove one.`;
    }
    names.add(service.name);
  }
}

function findKeyProblem(document: ServingDocument): string | undefined {
  const owners = new Map<string, string>();
  for (const workspace of document.workspaces ?? []) {
    for (const key of workspace.keys) {
      const other = owners.get(key);
      if (other !== undefined && other !== workspace.name) {
        return `Workspaces ${other} and ${workspace.name} share a key. ` +
          "Remedy: give each workspace its own keys.";
      }
      owners.set(key, workspace.name);
    }
  }
}
