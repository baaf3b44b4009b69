import type { DocumentFinding } from "./document_finding.ts";
import { findRouteWarnings } from "./find_route_warnings.ts";
import type { Service } from "./service.ts";
import type { ServingDocument } from "./serving_document.ts";
import type { Workspace } from "./workspace.ts";

/**
 * Finds parts of a valid configuration document that have no effect or
 * contradict each other.
 *
 * @public
 */
export function findDocumentWarnings(
  document: ServingDocument,
): readonly DocumentFinding[] {
  return [
    ...findRouteWarnings(document),
    ...findServiceListWarnings(document),
    ...findWorkspaceListWarnings(document),
    ...findLimitWarnings(document),
  ];
}

function createWarning(path: string, message: string): DocumentFinding {
  return { severity: "warning", path, message };
}

function findServiceListWarnings(document: ServingDocument): DocumentFinding[] {
  const warnings: DocumentFinding[] = [];
  const used = new Set(
    document.routes.flatMap((route) =>
      route.targets.map((target) => target.service)
    ),
  );
  for (const [index, service] of document.services.entries()) {
    const path = `services[${index}]`;
    if (!used.has(service.name)) {
      warnings.push(createWarning(
        path,
        `Service ${service.name} is used by no route. ` +
          "Remedy: remove it or add it to a route.",
      ));
    }
    if (hasInvertedScale(service)) {
      warnings.push(createWarning(
        `${path}.scale.min`,
        `Service ${service.name}: scale.min is above scale.max. ` +
          "Remedy: lower scale.min or raise scale.max.",
      ));
    }
  }
  return warnings;
}

function hasInvertedScale({ scale }: Service): boolean {
  return scale !== undefined && scale.min > scale.max;
}

function findWorkspaceListWarnings(
  document: ServingDocument,
): DocumentFinding[] {
  const { workspaces = [], routes } = document;
  const warnings = workspaces.flatMap(findWorkspaceWarnings);
  const isPublic = routes.length > 0 && routes.every((route) => route.isPublic);
  if (isPublic && workspaces.some((workspace) => workspace.keys.length > 0)) {
    warnings.push(createWarning(
      "workspaces",
      "All routes are public, so that no request needs a key. " +
        "Remedy: remove the keys or make a route non-public.",
    ));
  }
  return warnings;
}

function findWorkspaceWarnings(
  workspace: Workspace,
  index: number,
): DocumentFinding[] {
  const { name, keys, rate, burst, defaultCharge } = workspace;
  const path = `workspaces[${index}]`;
  const warnings: DocumentFinding[] = [];
  if (keys.length === 0) {
    warnings.push(createWarning(
      `${path}.keys`,
      `Workspace ${name} has no keys. Remedy: add one or remove it.`,
    ));
  }
  if (rate === 0 && burst > 0) {
    warnings.push(createWarning(
      `${path}.rate`,
      `Workspace ${name}: a rate of 0 means unlimited, so that the burst has ` +
        "no effect. Remedy: set the rate or remove the burst.",
    ));
  }
  if (rate > 0 && burst < defaultCharge) {
    warnings.push(createWarning(
      `${path}.burst`,
      `Workspace ${name}: the burst (${burst}) is under the charge of one ` +
        `request without a token count (${defaultCharge}). ` +
        "Remedy: raise the burst.",
    ));
  }
  return warnings;
}

function findLimitWarnings({ limits }: ServingDocument): DocumentFinding[] {
  const warnings: DocumentFinding[] = [];
  for (const [field, value] of Object.entries(limits)) {
    if (!(value > 0)) {
      warnings.push(createWarning(
        `limits.${field}`,
        `${field} is ${value}, which no request with a head and a body ` +
          "meets. Remedy: set it above 0.",
      ));
    }
  }
  return warnings;
}
