import {
  compareDocuments,
  findDocumentWarnings,
  RouteKind,
  type ServingDocument,
} from "./mod.ts";

const scale = {
  min: 1,
  max: 1,
  bootTime: 1,
  spotPrice: 1,
  zonePrices: { z: 1 },
};
const route = {
  name: "a",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.streaming,
  targets: [{ service: "s", weight: 1 }],
  timeout: 1000,
  latencyObjective: 100,
  priority: 5,
  maxAttempts: 1,
  isPublic: true,
  isResumable: false,
};
const service = { name: "s", maxConnections: 1, engine: undefined, scale };
const workspace = {
  name: "w",
  keys: ["secret-key-1234"],
  priority: undefined,
  rate: 1,
  burst: 1,
  defaultCharge: 1,
  countsTokens: false,
};
const document: ServingDocument = {
  version: 1,
  routes: [route, { ...route, name: "b", pathPrefix: "/b/", isPublic: false }],
  services: [service],
  workspaces: [workspace],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeout: 1,
    idleTimeout: 1,
  },
};

const CASES: readonly [string, Partial<ServingDocument>][] = [
  ["routes[1].host", { routes: [route, { ...route, host: "H" }] }],
  ["routes[0].host", { routes: [{ ...route, host: "h:80" }] }],
  ["routes[0].pathPrefix", { routes: [{ ...route, pathPrefix: "/?/" }] }],
  ["routes[0].timeout", { routes: [{ ...route, timeout: 50 }] }],
  ["routes[0].latencyObjective", {
    routes: [{ ...route, latencyObjective: 0 }],
  }],
  ["routes[0].maxAttempts", { routes: [{ ...route, maxAttempts: 2 }] }],
  ["routes[0].targets[1].weight", {
    routes: [{
      ...route,
      targets: [...route.targets, { service: "s", weight: 0 }],
    }],
  }],
  ["services[1]", { services: [service, { ...service, name: "t" }] }],
  ["services[0].scale.min", {
    services: [{ ...service, scale: { ...scale, min: 2 } }],
  }],
  ["workspaces[0].keys", { workspaces: [{ ...workspace, keys: [] }] }],
  ["workspaces[0].burst", { workspaces: [{ ...workspace, burst: 0 }] }],
  ["workspaces[0].rate", { workspaces: [{ ...workspace, rate: 0 }] }],
  ["workspaces", { routes: [route] }],
  ["limits.maxBodyBytes", { limits: { ...document.limits, maxBodyBytes: 0 } }],
];

// Guards against warnings on sound documents, which would fail --strict.
test("a sound document has no warnings", () => {
  expect(findDocumentWarnings(document)).toEqual([]);
});

// Guards against a part without effect that the check misses.
test.each(CASES)("warns about %s", (path, change) => {
  const warnings = findDocumentWarnings({ ...document, ...change });
  const found = warnings.find((warning) => warning.path === path);
  expect(found?.severity).toBe("warning");
  expect(found?.message).toContain("Remedy");
});

// Guards against one warning about attempts that hides the others.
test("each contradiction of several attempts is named", () => {
  const list = (change: Partial<typeof route>, max: number) =>
    findDocumentWarnings({
      ...document,
      routes: [{ ...route, isPublic: false, maxAttempts: 2, ...change }],
      services: [{ ...service, scale: { ...scale, max } }],
    }).map((warning) => warning.message);
  expect(list({}, 2)).toEqual([expect.stringContaining("not resumable")]);
  expect(list({ isResumable: true }, 2)).toEqual([]);
  const isOnce = findDocumentWarnings({
    ...document,
    routes: [{ ...route, kind: RouteKind.nonIdempotent, maxAttempts: 2 }],
  }).some(({ message }) => message.includes("may run only once"));
  expect(isOnce).toBe(true);
  expect(list({ isResumable: true, maxAttempts: 1 }, 1)).toEqual([]);
  expect(list({ isResumable: true }, 1)).toEqual([
    expect.stringContaining("2 attempts are more than the 1 upstreams"),
  ]);
});

// Guards against keys in a diff, which operators paste into tickets.
test("differences name fields and mask keys", () => {
  const differences = compareDocuments(document, {
    ...document,
    routes: [{ ...route, timeout: 2000 }, { ...route, name: "c" }],
    workspaces: [{ ...workspace, keys: ["secret-key-5678"] }],
  });
  expect(
    differences.map(({ change, part, field, before, after }) =>
      [change, part, field, before, after].join(" ").trim()
    ),
  ).toEqual([
    "changed route a timeout 1000 2000",
    "removed route b",
    "changed workspace w keys ...1234 ...5678",
    "added route c",
  ]);
  expect(compareDocuments(document, document)).toEqual([]);
});
