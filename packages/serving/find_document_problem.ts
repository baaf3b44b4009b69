import type { Route } from "./route.ts";
import type { ServingDocument } from "./serving_document.ts";

/**
 * Says what makes a document invalid, with the remedy; nothing when it may be
 * put in force.
 *
 * @public
 */
export function findDocumentProblem(
  document: ServingDocument,
): string | undefined {
  return findVersionProblem(document) ?? findRouteProblem(document) ??
    findServiceProblem(document) ?? findKeyProblem(document);
}

function findVersionProblem(document: ServingDocument): string | undefined {
  if (!Number.isSafeInteger(document.version) || document.version < 0) {
    return "version is not a whole number. Remedy: send a higher one.";
  }
}

function findRouteProblem(document: ServingDocument): string | undefined {
  const services = new Set(document.services.map((service) => service.name));
  const places = new Map<string, string>();
  for (const route of document.routes) {
    const place = `${route.host} ${route.pathPrefix}`;
    const other = places.get(place);
    if (other !== undefined) {
      return `Routes ${other} and ${route.name} share host and prefix. ` +
        "Remedy: change one of them.";
    }
    places.set(place, route.name);
    const problem = findProblemOf(route, services);
    if (problem !== undefined) {
      return `Route ${route.name}: ${problem}`;
    }
  }
}

function findProblemOf(
  route: Route,
  services: ReadonlySet<string>,
): string | undefined {
  if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
    return "the prefix lacks a slash. Remedy: begin and end it with one.";
  }
  if (!(route.timeout > 0)) {
    return "the timeout is not above 0. Remedy: give milliseconds.";
  }
  let total = 0;
  for (const target of route.targets) {
    if (!services.has(target.service)) {
      return `service ${target.service} is unknown. Remedy: define it.`;
    }
    if (!(target.weight >= 0)) {
      return "a weight is negative. Remedy: use 0 or more.";
    }
    total += target.weight;
  }
  if (!(total > 0)) {
    return "the weights add up to 0. Remedy: raise one of them.";
  }
}

function findServiceProblem(document: ServingDocument): string | undefined {
  const names = new Set<string>();
  for (const service of document.services) {
    if (names.has(service.name)) {
      return `Service ${service.name} stands twice. Remedy: remove one.`;
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
          "Remedy: give each its own.";
      }
      owners.set(key, workspace.name);
    }
  }
}
