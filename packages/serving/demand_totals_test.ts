import { DemandTotals } from "./demand_totals.ts";
import { Hub, listServiceRanks, RouteKind, type SyncRequest } from "./mod.ts";

const row = (workspace: string, asked: number, admitted: number) => ({
  priority: 0,
  workspace,
  asked,
  admitted,
});

test("demand is summed over entries, and removed with them", () => {
  const totals = new DemandTotals();
  totals.update("a", { writers: [row("inn", 10, 4)] });
  totals.update("b", { writers: [row("inn", 5, 5), row("bar", 1, 0)] });
  totals.update("b", { writers: [row("inn", 7, 5)] });
  expect(totals.sums(0)).toEqual({ writers: [row("inn", 17, 9)] });
  totals.remove("a");
  totals.update("b", undefined);
  expect(totals.sums(100)).toBeUndefined();
});

// Guards against rows without bound, as keys name the workspaces.
test("the smallest rows beyond the limit are summed", () => {
  const totals = new DemandTotals();
  const rows = Array.from({ length: 300 }, (_, at) => row(`w${at}`, at + 1, 1));
  totals.update("a", { writers: rows });
  const sums = totals.sums(0)!["writers"]!;
  expect(sums).toHaveLength(256);
  expect(sums.at(-1)).toEqual(row("", 45 * 46 / 2, 45));
});

// Guards against demand of entries that stopped without a word.
test("demand of an entry counts until the replica misses it", () => {
  const hub = new Hub("f");
  const sync = (name: string, now: number, demand?: SyncRequest["demand"]) =>
    hub.sync({
      entry: {
        name,
        boot: name,
        address: `${name}:80`,
        zone: "a",
        region: "r",
        isOpen: true,
      },
      wall: 0,
      feed: "",
      revision: 0,
      documentVersion: -1,
      spent: {},
      readWork: {},
      readingSpeeds: {},
      loads: {},
      usage: {},
      demand,
    }, { document: undefined, controls: [], isLeading: true, now });
  const demand = { writers: [row("inn", 10, 4)] };
  sync("a", 0, demand);
  expect(sync("b", 1100).shared?.demand).toEqual(demand);
  expect(sync("b", 1300).shared?.demand).toBeUndefined();
});

test("ranks are those of streaming routes and of overriding workspaces", () => {
  const route = {
    name: "write",
    host: "h",
    pathPrefix: "/",
    kind: RouteKind.streaming,
    targets: [{ service: "writers", weight: 1 }],
    timeout: 1000,
    latencyObjective: 400,
    priority: 1,
    maxAttempts: 2,
    isPublic: false,
    isResumable: false,
  };
  const calls = { ...route, kind: RouteKind.idempotent, priority: 5 };
  const workspace = {
    name: "inn",
    keys: [],
    priority: 3,
    rate: 0,
    burst: 0,
    defaultCharge: 1,
    countsTokens: false,
  };
  expect(listServiceRanks({ routes: [route, calls], workspaces: [workspace] }))
    .toEqual([1, 3].map((priority) => ({
      service: "writers",
      priority,
      objective: 400,
    })));
});
