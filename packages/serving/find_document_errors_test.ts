import { findDocumentErrors, findDocumentProblem, RouteKind } from "./mod.ts";

const route = {
  name: "a",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.idempotent,
  targets: [{ service: "s", weight: 1 }],
  timeout: 1000,
  latencyObjective: 100,
  priority: 5,
  maxAttempts: 1,
  isPublic: true,
  isResumable: false,
};
const document = {
  version: 1,
  routes: [route],
  services: [
    { name: "s", maxConnections: 1, engine: undefined, scale: undefined },
  ],
  workspaces: undefined,
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeout: 1,
    idleTimeout: 1,
  },
};

// Guards against a validation that hides all problems behind the first one.
test("all errors are found, and the first is the one replicas report", () => {
  expect(findDocumentErrors(document)).toEqual([]);
  expect(findDocumentProblem(document)).toBeUndefined();
  const invalid = {
    ...document,
    version: -1,
    routes: [
      route,
      {
        ...route,
        name: "b",
        timeout: 0,
        targets: [{ service: "x", weight: 0 }],
      },
    ],
    services: [...document.services, ...document.services],
  };
  const errors = findDocumentErrors(invalid);
  expect(errors.map((error) => error.path)).toEqual([
    "version",
    "routes[1].pathPrefix",
    "routes[1].timeout",
    "routes[1].targets[0].service",
    "routes[1].targets",
    "services[1].name",
  ]);
  expect(errors.every((error) => error.message.includes("Remedy"))).toBe(true);
  expect(findDocumentProblem(invalid)).toBe(errors[0]?.message);
});

// Guards against a workspace of which no request can be sent to an upstream.
test.each(["a\r\nX-Added: 1", "a\0b", "\x7f"])(
  "a workspace name with control characters is an error: %j",
  (name) => {
    const workspace = {
      name,
      keys: ["k"],
      priority: undefined,
      rate: 0,
      burst: 0,
      defaultCharge: 1,
      countsTokens: false,
    };
    const sound = { ...workspace, name: "Ærlig gjest", keys: ["other"] };
    const workspaces = [sound, workspace];
    const errors = findDocumentErrors({ ...document, workspaces });
    expect(errors.map(({ path }) => path)).toEqual(["workspaces[1].name"]);
    expect(errors[0]!.message).toContain("Remedy");
  },
);

// Guards against numbers that nothing can be computed with, such as no slots.
test.each([
  ["routes[0].priority", { routes: [{ ...route, priority: -1 }] }],
  ["routes[0].latencyObjective", {
    routes: [{ ...route, latencyObjective: -1 }],
  }],
  ["services[0].maxConnections", { maxConnections: -1 }],
  ["services[0].engine.slots", { slots: 0 }],
  ["services[0].scale.max", { max: -1 }],
  ["workspaces[0].rate", { rate: -1 }],
  ["workspaces[0].burst", { burst: -0.5 }],
  ["workspaces[0].defaultCharge", { defaultCharge: -1 }],
])("%s is rejected if it is too low, and the remedy is named", (path, part) => {
  const numbers = {
    maxConnections: 0,
    slots: 1,
    max: 0,
    rate: 0,
    burst: 0.5,
    defaultCharge: 0,
  };
  const create = (changes: Partial<typeof numbers>) => {
    const { maxConnections, slots, max, ...quota } = { ...numbers, ...changes };
    const engine = {
      slots,
      kvCapacityTokens: 0,
      kvTokenBytes: 0,
      linkMbps: 0,
      canMove: false,
    };
    const scale = { min: 0, max, bootTime: 0, spotPrice: 1, zonePrices: {} };
    const workspace = {
      name: "inn",
      keys: [],
      priority: 0,
      countsTokens: true,
      ...quota,
    };
    return {
      ...document,
      services: [{ name: "s", maxConnections, engine, scale }],
      workspaces: [workspace],
    };
  };
  expect(findDocumentErrors(create({}))).toEqual([]);
  const { routes = [route], ...changes } = part as
    & Partial<typeof numbers>
    & { routes?: (typeof route)[] };
  const errors = findDocumentErrors({ ...create(changes), routes });
  expect(errors).toHaveLength(1);
  expect(errors[0]).toMatchObject({
    path,
    message: expect.stringContaining("Remedy"),
  });
});
