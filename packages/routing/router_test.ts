import { createHash } from "node:crypto";
import type { Announcement, ConfigurationView } from "@heroncleat/schema";
import {
  chooseGroup,
  hashPrefixBlocks,
  type RoutedRequest,
  Router,
  ROUTING_DEFAULTS,
  subsetUpstreams,
} from "./mod.ts";

const VIEW: ConfigurationView = {
  revision: 1,
  groups: {
    old: { name: "old", labels: { place: "old" }, state: "serving", share: 50 },
    new: { name: "new", labels: { place: "new" }, state: "serving", share: 50 },
  },
  selectors: {
    all: { name: "all", order: 9, match: {}, groups: ["old", "new"] },
  },
  limits: {},
  labels: {},
};

function announcement(
  name: string,
  changes: Partial<Announcement> = {},
): Announcement {
  return {
    name,
    address: `${name}:1`,
    incarnation: 1,
    sequence: 1,
    kind: "model_engine",
    models: ["m"],
    zone: "a",
    vmClass: "reclaimable",
    price: 1,
    labels: { place: "new" },
    checksFencing: true,
    slots: 4,
    prefillRate: 1000,
    decodeInterval: 20,
    state: "serving",
    load: { running: 0, waiting: 0, kvUsedShare: 0, at: 0 },
    ...changes,
  };
}

function request(changes: Partial<RoutedRequest> = {}): RoutedRequest {
  return {
    id: "r1",
    workspace: "bistro",
    model: "m",
    service: "",
    method: "POST",
    path: "",
    prefix: [],
    promptTokens: 100,
    isContinued: false,
    exclude: [],
    ...changes,
  };
}

function hash(text: string): number {
  return createHash("sha1").update(text).digest().readUInt32BE(0) / 2 ** 32;
}

function createRouter(
  upstreams: readonly Announcement[],
  settings: Partial<typeof ROUTING_DEFAULTS> = {},
): Router {
  const router = new Router(
    { ...ROUTING_DEFAULTS, ...settings },
    { entry: "e1", hash },
  );
  router.configure(VIEW);
  for (const upstream of upstreams) {
    router.updateUpstream(upstream, 0);
  }
  return router;
}

/** The configuration with some of its groups in drain. */
function drained(...names: readonly string[]): ConfigurationView {
  const groups = structuredClone(VIEW.groups);
  for (const name of names) {
    groups[name]!.state = "draining";
  }
  return { ...VIEW, groups };
}

let tokenCount = 0;
function routeTo(router: Router, routed: RoutedRequest, now = 1): string {
  tokenCount += 1;
  const decision = router.route(routed, { token: `t${tokenCount}`, now });
  return decision.kind === "chosen"
    ? decision.choice.upstream
    : decision.reason;
}

describe("Router", () => {
  test("chooses the cheapest upstream that meets the latency target", () => {
    const router = createRouter([
      announcement("expensive", { price: 3 }),
      announcement("cheap"),
      announcement("slow", { price: 0.5, prefillRate: 50 }),
    ]);
    expect(routeTo(router, request())).toBe("cheap");
  });

  test("chooses a more expensive upstream when the cheap one has a queue", () => {
    const router = createRouter([
      announcement("expensive", { price: 3 }),
      announcement("cheap", {
        load: { running: 4, waiting: 4, kvUsedShare: 0, at: 0 },
      }),
    ]);
    expect(routeTo(router, request())).toBe("expensive");
  });

  test("counts its own dispatches before a load report includes them", () => {
    const router = createRouter([announcement("a"), announcement("b")]);
    const chosen = Array.from(
      { length: 8 },
      (_, n) => routeTo(router, request({ id: `r${n}` })),
    );
    expect(chosen.filter((name) => name === "a")).toHaveLength(4);
  });

  test("avoids recomputation under the recompute weighting", () => {
    const prefix = ["b1", "b2", "b3"];
    const load = { running: 2, waiting: 0, kvUsedShare: 0, at: 0 };
    // The half full batch outweighs the prefill time saved at the warm
    // upstream, but not that time plus the weight of the recomputed tokens.
    for (
      const [weighting, expected] of [
        ["cost", "empty"],
        ["recompute", "warm"],
      ] as const
    ) {
      const router = createRouter([
        announcement("warm", { load }),
        announcement("empty"),
      ], { weighting });
      router.applyCacheEvent("warm", {
        sequence: 1,
        kind: "stored",
        blocks: prefix,
      });
      expect(routeTo(router, request({ prefix, promptTokens: 180 })))
        .toBe(expected);
    }
  });

  test("lowers the confidence in a cache after a gap in its events", () => {
    const prefix = ["b1", "b2"];
    const router = createRouter([announcement("a"), announcement("b")], {
      weighting: "recompute",
    });
    const stored = { kind: "stored" as const, blocks: prefix };
    router.applyCacheEvent("a", { ...stored, sequence: 1 });
    router.applyCacheEvent("a", { ...stored, sequence: 9 });
    router.applyCacheEvent("b", { ...stored, sequence: 1 });
    expect(routeTo(router, request({ prefix }))).toBe("b");
  });

  test("excludes departing, lapsed and drained upstreams", () => {
    const departing = createRouter([announcement("a")]);
    departing.updateUpstream(announcement("a", { state: "leaving" }), 1);
    expect(routeTo(departing, request())).toBe("no_upstream");
    const lapsed = createRouter([announcement("a")]);
    lapsed.removeUpstream("a");
    expect(routeTo(lapsed, request())).toBe("no_upstream");
    const drained = createRouter([announcement("a")]);
    const groups = structuredClone(VIEW.groups);
    groups["old"]!.state = "draining";
    groups["new"]!.state = "draining";
    drained.configure({ ...VIEW, groups });
    expect(routeTo(drained, request())).toBe("all_draining");
  });

  // Guards against generations that end because their groups drain, while
  // upstreams serve on.
  test("sends generations that have begun to groups in drain until the timeout", () => {
    const router = createRouter([announcement("a")], { drainTimeout: 2000 });
    router.configure(drained("old", "new"), 1000);
    const begun = request({ isContinued: true });
    expect(routeTo(router, request(), 1001)).toBe("all_draining");
    expect(routeTo(router, begun, 2749)).toBe("a");
    expect(routeTo(router, begun, 2750)).toBe("all_draining");
  });

  test("prefers groups that are open, and those that drain for longer", () => {
    const router = createRouter([
      announcement("first", { labels: { place: "old" } }),
      announcement("second"),
    ], { drainTimeout: 2000 });
    const begun = request({ isContinued: true });
    router.configure(drained("old"), 1000);
    expect(routeTo(router, begun, 1001)).toBe("second");
    expect(routeTo(router, { ...begun, exclude: ["second"] }, 1001))
      .toBe("first");
    router.configure(drained("old", "new"), 1500);
    expect(routeTo(router, begun, 1501)).toBe("second");
    expect(routeTo(router, { ...begun, exclude: ["second"] }, 2749))
      .toBe("first");
    expect(routeTo(router, { ...begun, exclude: ["second"] }, 2750))
      .toBe("all_draining");
  });

  test("sends upstreams that leave nothing, also of what has begun", () => {
    const router = createRouter([announcement("a", { state: "leaving" })]);
    router.configure(drained("old", "new"), 0);
    expect(routeTo(router, request({ isContinued: true }))).toBe(
      "all_draining",
    );
  });

  test("splits the traffic by the shares of the groups", () => {
    const router = createRouter([
      announcement("o", { labels: { place: "old" }, slots: 10_000 }),
      announcement("n", { slots: 10_000 }),
    ]);
    for (const share of [10, 50, 100]) {
      const groups = structuredClone(VIEW.groups);
      groups["new"]!.share = share;
      groups["old"]!.share = 100 - share;
      router.configure({ ...VIEW, groups });
      const chosen = Array.from(
        { length: 2000 },
        (_, n) => routeTo(router, request({ id: `${share}-${n}` })),
      );
      const movedShare = chosen.filter((name) => name === "n").length / 2000;
      expect(Math.abs(movedShare - share / 100)).toBeLessThan(0.05);
    }
  });

  test("stops routing to a failing upstream, then allows one trial request", () => {
    const router = createRouter([announcement("a")]);
    for (let n = 0; n < 3; n += 1) {
      router.route(request(), { token: `f${n}`, now: n });
      router.recordEnd("a", { token: `f${n}`, outcome: "failed", now: n });
    }
    expect(routeTo(router, request(), 10)).toBe("all_failing");
    expect(router.route(request(), { token: "trial", now: 2000 }).kind)
      .toBe("chosen");
    expect(routeTo(router, request(), 2000)).toBe("all_failing");
    router.recordEnd("a", { token: "trial", outcome: "succeeded", now: 2100 });
    expect(routeTo(router, request(), 2100)).toBe("a");
  });

  test("adds labels set by operators to the announced ones", () => {
    const router = createRouter([announcement("a", { labels: {} })]);
    expect(routeTo(router, request())).toBe("no_upstream");
    router.configure({ ...VIEW, labels: { a: { place: "old" } } });
    expect(routeTo(router, request())).toBe("a");
  });
});

describe("hashPrefixBlocks", () => {
  test("returns equal hashes exactly for the common prefix", () => {
    const chain = (text: string, previousHash: string) =>
      `${hash(previousHash + text)}`;
    const start = "x".repeat(600);
    const left = hashPrefixBlocks(`${start}${"a".repeat(600)}`, chain);
    const right = hashPrefixBlocks(`${start}${"b".repeat(600)}`, chain);
    expect(left.slice(0, 2)).toEqual(right.slice(0, 2));
    expect(left[2]).not.toBe(right[2]);
  });
});

describe("subsetUpstreams", () => {
  const names = Array.from({ length: 400 }, (_, n) => `u${n}`);

  test("keeps the subset nearly unchanged when an upstream is removed", () => {
    const options = { entry: "e7", size: 40, hash };
    const before = new Set(subsetUpstreams(names, options));
    const after = subsetUpstreams(names.slice(0, 399), options);
    expect(before.size).toBe(40);
    expect(after.filter((name) => before.has(name)).length)
      .toBeGreaterThanOrEqual(39);
  });
});

test("chooseGroup skips draining groups and groups without a share", () => {
  const group = (
    name: string,
    share: number,
    state: "serving" | "draining",
  ) => ({ name, labels: {}, share, state });
  const groups = [group("a", 0, "serving"), group("b", 50, "draining")];
  expect(chooseGroup(groups, 0.5)).toBeUndefined();
  expect(chooseGroup([...groups, group("c", 1, "serving")], 0.99)?.name)
    .toBe("c");
});
