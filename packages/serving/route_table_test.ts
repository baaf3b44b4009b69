import {
  findDocumentProblem,
  type Route,
  RouteKind,
  RouteTable,
  type ServingDocument,
} from "./mod.ts";

const route: Route = {
  name: "all",
  host: "inn.example",
  pathPrefix: "/",
  kind: RouteKind.idempotent,
  targets: [{ service: "desk", weight: 1 }],
  timeout: 1000,
  latencyObjective: 100,
  priority: 1,
  maxAttempts: 2,
  isPublic: false,
  isResumable: false,
};
const document: ServingDocument = {
  version: 3,
  routes: [route, { ...route, name: "menu", pathPrefix: "/menu/today/" }],
  services: [{
    name: "desk",
    maxConnections: 10,
    engine: undefined,
    scale: undefined,
  }],
  workspaces: [{
    name: "inn",
    keys: ["k1", "k2"],
    priority: undefined,
    rate: 0,
    burst: 0,
    defaultCharge: 1,
    countsTokens: false,
  }],
  limits: {
    maxHeaderBytes: 1,
    maxBodyBytes: 1,
    headerTimeout: 1,
    idleTimeout: 1,
  },
};

describe("the route table", () => {
  const table = new RouteTable(document);

  test("finds the longest path prefix of the host", () => {
    expect(table.findRoute("inn.example", "/menu/today/x")?.name).toBe("menu");
    expect(table.findRoute("INN.example:80", "/menu/today")?.name).toBe("all");
    expect(table.findRoute("other.example", "/menu/today/")).toBeUndefined();
  });

  test("finds a workspace by any of its keys", () => {
    expect(table.findWorkspace("k2")?.name).toBe("inn");
    expect(table.findWorkspace("k3")).toBeUndefined();
    expect(table.needsKey(route)).toBe(true);
    expect(table.needsKey({ ...route, isPublic: true })).toBe(false);
  });
});

describe("a configuration document", () => {
  const invalid: [string, Partial<ServingDocument>, RegExp][] = [
    ["an unknown service", {
      routes: [{ ...route, targets: [{ service: "none", weight: 1 }] }],
    }, /unknown/],
    ["two routes with the same host and prefix", {
      routes: [route, { ...route, name: "b" }],
    }, /share host and prefix/],
    ["only weights of 0", {
      routes: [{ ...route, targets: [{ service: "desk", weight: 0 }] }],
    }, /add up to 0/],
    ["a timeout of 0", { routes: [{ ...route, timeout: 0 }] }, /timeout/],
    ["a key of two workspaces", {
      workspaces: [
        document.workspaces![0]!,
        { ...document.workspaces![0]!, name: "b" },
      ],
    }, /share a key/],
  ];

  test("without errors has no problem", () => {
    expect(findDocumentProblem(document)).toBeUndefined();
  });

  test.each(invalid)(
    "with %s is refused with a remedy",
    (_name, change, message) => {
      const problem = findDocumentProblem({ ...document, ...change });
      expect(problem).toMatch(message);
      expect(problem).toMatch(/Remedy/);
    },
  );
});
