import { headerValue } from "@heroncleat/base";
import type { DocumentFinding } from "./document_finding.ts";
import type { Route } from "./route.ts";
import type { ServingDocument } from "./serving_document.ts";

/** Limits names in messages. */
const MAX_NAMED_CHARACTERS = 100;

/**
 * Finds all problems for which a configuration document is rejected.
 *
 * @public
 */
export function findDocumentErrors(
  document: ServingDocument,
): readonly DocumentFinding[] {
  return [
    ...findVersionErrors(document),
    ...findRouteListErrors(document),
    ...findServiceErrors(document),
    ...findNumberErrors(document),
    ...findWorkspaceNameErrors(document),
    ...findKeyErrors(document),
  ];
}

function createError(path: string, message: string): DocumentFinding {
  return { severity: "error", path, message };
}

function findVersionErrors(document: ServingDocument): DocumentFinding[] {
  if (Number.isSafeInteger(document.version) && document.version >= 0) {
    return [];
  }
  return [createError(
    "version",
    "version is not an integer of 0 or more. Remedy: send a higher one.",
  )];
}

function findRouteListErrors(document: ServingDocument): DocumentFinding[] {
  const errors: DocumentFinding[] = [];
  const services = new Set(document.services.map((service) => service.name));
  const routesByLocation = new Map<string, string>();
  for (const [index, route] of document.routes.entries()) {
    const path = `routes[${index}]`;
    const location = `${route.host} ${route.pathPrefix}`;
    const other = routesByLocation.get(location);
    if (other !== undefined) {
      errors.push(createError(
        `${path}.pathPrefix`,
        `Routes ${other} and ${route.name} share host and prefix. ` +
          "Remedy: change the host or the prefix of one.",
      ));
    }
    routesByLocation.set(location, route.name);
    for (const { field, problem } of findRouteProblems(route, services)) {
      errors.push(
        createError(`${path}.${field}`, `Route ${route.name}: ${problem}`),
      );
    }
  }
  return errors;
}

function findRouteProblems(
  route: Route,
  services: ReadonlySet<string>,
): { field: string; problem: string }[] {
  const problems: { field: string; problem: string }[] = [];
  if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
    problems.push({
      field: "pathPrefix",
      problem: "pathPrefix lacks a slash. Remedy: begin and end it with one.",
    });
  }
  if (!(route.timeout > 0)) {
    problems.push({
      field: "timeout",
      problem:
        "the timeout is not greater than 0. Remedy: set it in milliseconds.",
    });
  }
  let total = 0;
  let isEachWeightValid = true;
  for (const [index, target] of route.targets.entries()) {
    if (!services.has(target.service)) {
      problems.push({
        field: `targets[${index}].service`,
        problem: `service ${target.service} is unknown. Remedy: define it.`,
      });
    }
    if (!(target.weight >= 0)) {
      isEachWeightValid = false;
      problems.push({
        field: `targets[${index}].weight`,
        problem: "a weight is not 0 or more. Remedy: set it to 0 or more.",
      });
    }
    total += target.weight;
  }
  if (isEachWeightValid && !(total > 0)) {
    problems.push({
      field: "targets",
      problem: "the weights add up to 0. Remedy: set at least one above 0.",
    });
  }
  return problems;
}

function findServiceErrors(document: ServingDocument): DocumentFinding[] {
  const errors: DocumentFinding[] = [];
  const names = new Set<string>();
  for (const [index, service] of document.services.entries()) {
    if (names.has(service.name)) {
      errors.push(createError(
        `services[${index}].name`,
        `Service ${service.name} is defined twice. Remedy: remove one.`,
      ));
    }
    names.add(service.name);
  }
  return errors;
}

/** Other numbers are limited where they are used. */
function findNumberErrors(document: ServingDocument): DocumentFinding[] {
  const errors: DocumentFinding[] = [];
  const check = (path: string, value: number | undefined, min: number) => {
    if (value !== undefined && !(value >= min)) {
      errors.push(createError(
        path,
        `${path} is ${value}. Remedy: set it to ${min} or more.`,
      ));
    }
  };
  for (const [index, route] of document.routes.entries()) {
    check(`routes[${index}].priority`, route.priority, 0);
    check(`routes[${index}].latencyObjective`, route.latencyObjective, 0);
  }
  for (const [index, service] of document.services.entries()) {
    const path = `services[${index}]`;
    const { engine, scale } = service;
    check(`${path}.maxConnections`, service.maxConnections, 0);
    check(`${path}.engine.slots`, engine?.slots, 1);
    check(`${path}.scale.min`, scale?.min, 0);
    check(`${path}.scale.max`, scale?.max, 0);
    check(`${path}.scale.bootTime`, scale?.bootTime, 0);
  }
  for (const [index, workspace] of (document.workspaces ?? []).entries()) {
    const path = `workspaces[${index}]`;
    check(`${path}.priority`, workspace.priority, 0);
    check(`${path}.rate`, workspace.rate, 0);
    check(`${path}.burst`, workspace.burst, 0);
    check(`${path}.defaultCharge`, workspace.defaultCharge, 0);
  }
  return errors;
}

/** Upstreams get the name of a request's workspace in a header. */
function findWorkspaceNameErrors(document: ServingDocument): DocumentFinding[] {
  const errors: DocumentFinding[] = [];
  for (const [index, { name }] of (document.workspaces ?? []).entries()) {
    if (!headerValue.allows(name)) {
      errors.push(createError(
        `workspaces[${index}].name`,
        `The name of workspace ${
          JSON.stringify(name.slice(0, MAX_NAMED_CHARACTERS))
        } has control ` +
          "characters, so that no request of it could be sent. Remedy: " +
          "remove them.",
      ));
    }
  }
  return errors;
}

function findKeyErrors(document: ServingDocument): DocumentFinding[] {
  const errors: DocumentFinding[] = [];
  const owners = new Map<string, string>();
  for (const [index, workspace] of (document.workspaces ?? []).entries()) {
    for (const [keyIndex, key] of workspace.keys.entries()) {
      const other = owners.get(key);
      if (other !== undefined && other !== workspace.name) {
        errors.push(createError(
          `workspaces[${index}].keys[${keyIndex}]`,
          `Workspaces ${other} and ${workspace.name} share a key. ` +
            "Remedy: give each workspace its own keys.",
        ));
      }
      owners.set(key, workspace.name);
    }
  }
  return errors;
}
