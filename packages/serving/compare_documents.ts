import type { DocumentDifference } from "./document_difference.ts";
import type { Route } from "./route.ts";
import type { ServingDocument } from "./serving_document.ts";
import type { Workspace } from "./workspace.ts";

/** Characters of a key that identify it without revealing it. */
const SHOWN_KEY_LENGTH = 4;

/**
 * Lists the differences between two configuration documents. Keys are masked.
 *
 * @public
 */
export function compareDocuments(
  before: ServingDocument,
  after: ServingDocument,
): readonly DocumentDifference[] {
  const oldParts = listParts(before);
  const newParts = listParts(after);
  const differences: DocumentDifference[] = [];
  for (const [part, fields] of oldParts) {
    const newFields = newParts.get(part);
    if (newFields === undefined) {
      differences.push(createDifference("removed", part));
      continue;
    }
    differences.push(
      ...compareFields(part, { before: fields, after: newFields }),
    );
  }
  for (const part of newParts.keys()) {
    if (!oldParts.has(part)) {
      differences.push(createDifference("added", part));
    }
  }
  return differences;
}

/** Values by field; the first text is compared, the second is shown. */
type Fields = ReadonlyMap<string, { value: string; shown: string }>;

function createDifference(
  change: "added" | "removed",
  part: string,
): DocumentDifference {
  return {
    change,
    part,
    field: undefined,
    before: undefined,
    after: undefined,
  };
}

function compareFields(
  part: string,
  { before, after }: { before: Fields; after: Fields },
): DocumentDifference[] {
  const differences: DocumentDifference[] = [];
  for (const field of new Set([...before.keys(), ...after.keys()])) {
    const old = before.get(field);
    const current = after.get(field);
    if (old?.value !== current?.value) {
      differences.push({
        change: "changed",
        part,
        field,
        before: old?.shown,
        after: current?.shown,
      });
    }
  }
  return differences;
}

function listParts(document: ServingDocument): Map<string, Fields> {
  const { version, workspaces, limits } = document;
  const parts = new Map<string, Fields>();
  const add = (kind: string, name: string, fields: Fields) => {
    let part = `${kind} ${name}`;
    // Names of routes may repeat.
    for (let count = 2; parts.has(part); count += 1) {
      part = `${kind} ${name} (${count})`;
    }
    parts.set(part, fields);
  };
  parts.set(
    "document",
    flatten({ version, requiresKeys: workspaces !== undefined }),
  );
  for (const route of document.routes) {
    add("route", route.name, listRouteFields(route));
  }
  for (const service of document.services) {
    add("service", service.name, flatten(service));
  }
  for (const workspace of workspaces ?? []) {
    add("workspace", workspace.name, listWorkspaceFields(workspace));
  }
  parts.set("limits", flatten(limits));
  return parts;
}

function listRouteFields({ targets, ...route }: Route): Fields {
  const weights = targets.map(({ service, weight }) => [service, weight]);
  return flatten({ ...route, targets: Object.fromEntries(weights) });
}

function listWorkspaceFields({ keys, ...workspace }: Workspace): Fields {
  return new Map([
    ...flatten(workspace),
    [
      "keys",
      {
        value: JSON.stringify([...keys].sort()),
        shown: keys.map(maskKey).join(", "),
      },
    ] as const,
  ]);
}

function maskKey(key: string): string {
  return key.length > SHOWN_KEY_LENGTH
    ? `...${key.slice(-SHOWN_KEY_LENGTH)}`
    : "...";
}

function flatten(value: object, prefix = ""): Fields {
  const fields = new Map<string, { value: string; shown: string }>();
  for (const [name, item] of Object.entries(value)) {
    if (typeof item === "object" && item !== null) {
      for (const [path, text] of flatten(item, `${prefix}${name}.`)) {
        fields.set(path, text);
      }
    } else if (item !== undefined) {
      fields.set(`${prefix}${name}`, { value: `${item}`, shown: `${item}` });
    }
  }
  return fields;
}
