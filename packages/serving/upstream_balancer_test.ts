import type { DispatchNotice } from "@heroncleat/schema";
import {
  UpstreamBalancer,
  UpstreamDirectory,
  UpstreamStatements,
} from "./mod.ts";
import { testRecord } from "./test_record.ts";

const parts = [{ id: "menu", tokens: 10_000 }, { id: "own", tokens: 500 }];

function createDirectory(count: number): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  for (let index = 0; index < count; index += 1) {
    const id = `u${index}`;
    const address = `10.0.0.${index}:80`;
    directory.merge(testRecord({ id, name: id, address }), 0);
  }
  return directory;
}

const request = {
  service: "writers",
  zone: "a",
  parts,
  promptTokens: 10_500,
  excluded: new Set<string>(),
};

/**
 * A notice that another entry dispatched the shared part, already prefilled.
 */
function createNotice(upstream: string): DispatchNotice {
  return {
    kind: "dispatch",
    upstream,
    readTime: 0,
    tokens: 10_000,
    parts: ["menu"],
  };
}

describe("the choice of an upstream", () => {
  // Guards against prompts of a single part that all go to one upstream.
  test("spreads prompts of a single part that aren't cached", () => {
    const directory = createDirectory(8);
    const chosen = new Set<string | undefined>();
    for (let index = 0; index < 20; index += 1) {
      const parts = [{ id: `part-${index}`, tokens: 10_000 }];
      const choice = new UpstreamBalancer().choose(directory.list(), {
        request: { ...request, parts, promptTokens: 10_000 },
        now: 0,
        requiresHeartbeats: true,
      });
      chosen.add(choice?.upstream.record.id);
    }
    expect(chosen.size).toBeGreaterThan(1);
  });

  test("is the same at entries without information about each other", () => {
    const directory = createDirectory(8);
    const choose = () =>
      new UpstreamBalancer().choose(directory.list(), {
        request,
        now: 0,
        requiresHeartbeats: true,
      })?.upstream.record.id;
    expect(choose()).toBe(choose());
  });

  test("prefers the upstream to which another entry sent the shared part", () => {
    const directory = createDirectory(8);
    const balancer = new UpstreamBalancer();
    balancer.applyDispatchNotice(createNotice("u3"), 0);
    const chosen = balancer.choose(directory.list(), {
      request,
      now: 10,
      requiresHeartbeats: true,
    });
    expect(chosen?.upstream.record.id).toBe("u3");
    expect(chosen?.uncachedTokens).toBe(500);
  });

  test("avoids a busy upstream and returns it as the source of the part", () => {
    const directory = createDirectory(2);
    const balancer = new UpstreamBalancer();
    balancer.applyDispatchNotice(createNotice("u1"), 0);
    balancer.replaceReportedLoads({ u1: { requests: 4, backlog: 2000 } }, 0);
    const chosen = balancer.choose(directory.list(), {
      request,
      now: 10,
      requiresHeartbeats: true,
    });
    expect(chosen?.upstream.record.id).toBe("u0");
    expect(chosen?.source?.record.id).toBe("u1");
  });

  test("skips draining, excluded, paused and unresponsive upstreams", () => {
    const directory = createDirectory(4);
    const balancer = new UpstreamBalancer();
    directory.merge(
      { ...directory.get("u0")!.record, sequence: 2, state: "draining" },
      5000,
    );
    balancer.pause("u2", 5400);
    directory.merge({ ...directory.get("u2")!.record, sequence: 2 }, 5400);
    directory.merge({ ...directory.get("u3")!.record, sequence: 2 }, 5400);
    const excluded = new Set(["u3"]);
    const choose = (requiresHeartbeats: boolean) =>
      balancer.choose(directory.list(), {
        request: { ...request, excluded },
        now: 5500,
        requiresHeartbeats,
      })?.upstream.record.id;
    expect(choose(true)).toBeUndefined();
    // Without updates, a missing heartbeat doesn't exclude u1.
    expect(choose(false)).toBe("u1");
  });

  test("counts requests in flight until they end", () => {
    const directory = createDirectory(1);
    const balancer = new UpstreamBalancer();
    const chosen = balancer.choose(directory.list(), {
      request,
      now: 0,
      requiresHeartbeats: true,
    })!;
    balancer.begin(chosen, { parts, now: 0 });
    const { u0 } = balancer.loads(0);
    expect(u0?.requests).toBe(1);
    expect(u0?.backlog).toBe(Math.round(chosen.readTime));
    balancer.end(chosen);
    expect(balancer.loads(0)).toEqual({});
  });

  test("avoids an upstream to which another entry just sent a long prompt", () => {
    const directory = createDirectory(2);
    const sender = new UpstreamBalancer();
    const other = new UpstreamBalancer();
    const options = { request, now: 0, requiresHeartbeats: true };
    const first = sender.choose(directory.list(), options)!;
    other.applyDispatchNotice(sender.begin(first, { parts, now: 0 }), 1);
    const unrelated = {
      ...request,
      parts: [{ id: "rules", tokens: 9000 }, { id: "mine", tokens: 900 }],
    };
    const second = other.choose(directory.list(), {
      ...options,
      request: unrelated,
      now: 2,
    });
    expect(second?.upstream).not.toBe(first.upstream);
  });

  test("accounts for a backlog only until it is prefilled", () => {
    const directory = createDirectory(2);
    const balancer = new UpstreamBalancer();
    balancer.applyDispatchNotice({
      kind: "dispatch",
      upstream: "u0",
      readTime: 900,
      tokens: 40_000,
      parts: ["menu"],
    }, 0);
    const chooseAt = (now: number) =>
      balancer.choose(directory.list(), {
        request,
        now,
        requiresHeartbeats: true,
      })!;
    expect(chooseAt(10).upstream.record.id).toBe("u1");
    expect(chooseAt(880).upstream.record.id).toBe("u0");
  });

  test("expects a part to be evicted once newer tokens fill the KV cache", () => {
    const directory = createDirectory(1);
    const balancer = new UpstreamBalancer();
    const engine = {
      slots: 4,
      kvCapacityTokens: 100_000,
      kvTokenBytes: 327_680,
      linkMbps: 270_000,
      canMove: false,
    };
    const send = (part: string, tokens: number) =>
      balancer.applyDispatchNotice({
        kind: "dispatch",
        upstream: "u0",
        readTime: 0,
        tokens,
        parts: [part],
      }, 0);
    const uncached = () =>
      balancer.choose(directory.list(), {
        request: { ...request, engine },
        now: 0,
        requiresHeartbeats: true,
      })!.uncachedTokens;
    send("menu", 10_000);
    send("others", 60_000);
    expect(uncached()).toBe(500);
    send("more", 30_000);
    expect(uncached()).toBe(10_500);
  });

  test("fetches from an upstream in the same zone that has the part", () => {
    const directory = createDirectory(3);
    directory.merge({
      ...directory.get("u1")!.record,
      zone: "b",
      sequence: 2,
    }, 0);
    const balancer = new UpstreamBalancer();
    balancer.applyDispatchNotice(createNotice("u1"), 0);
    balancer.applyDispatchNotice(createNotice("u2"), 0);
    balancer.replaceReportedLoads({
      u1: { requests: 0, backlog: 5000 },
      u2: { requests: 0, backlog: 5000 },
    }, 0);
    const chosen = balancer.choose(directory.list(), {
      request,
      now: 0,
      requiresHeartbeats: true,
    });
    expect(chosen?.upstream.record.id).toBe("u0");
    expect(chosen?.source?.record.id).toBe("u2");
    expect(chosen?.fetchedTokens).toBe(10_000);
    expect(chosen?.uncachedTokens).toBe(500);
  });

  test("fetches neither pending parts nor from an upstream about to depart", () => {
    const directory = createDirectory(2);
    const balancer = new UpstreamBalancer();
    const chooseAt = (now: number) =>
      balancer.choose(directory.list(), {
        request,
        now,
        requiresHeartbeats: true,
      })!;
    balancer.applyDispatchNotice({
      kind: "dispatch",
      upstream: "u1",
      readTime: 900,
      tokens: 40_000,
      parts: ["menu"],
    }, 0);
    expect(chooseAt(100).source).toBeUndefined();
    balancer.replaceReportedLoads({ u1: { requests: 0, backlog: 5000 } }, 900);
    expect(chooseAt(1000).source?.record.id).toBe("u1");
    directory.merge({
      ...directory.get("u1")!.record,
      state: "draining",
      leavesIn: 2000,
      sequence: 2,
    }, 1000);
    expect(chooseAt(1100).source?.record.id).toBe("u1");
    expect(chooseAt(2700).source).toBeUndefined();
  });

  test("prefers an upstream with an open connection if the others are equal", () => {
    const directory = createDirectory(3);
    const plain = { ...request, parts: [], promptTokens: 0 };
    const chosen = new UpstreamBalancer().choose(directory.list(), {
      request: { ...plain, isConnected: (id) => id === "u2" },
      now: 0,
      requiresHeartbeats: true,
    });
    expect(chosen?.upstream.record.id).toBe("u2");
  });
});

// Guards against refusing callers as each upstream that rejects is met once.
test("without a retry left, an upstream that has accepted since others reject is chosen before those not tried since", () => {
  const directory = createDirectory(3);
  const statements = new UpstreamStatements(() => 0);
  const choice = new UpstreamBalancer({ statements });
  statements.recordAcceptance("u0", 0);
  statements.recordAcceptance("u1", 0);
  statements.recordRejection("u2", { rest: 0, now: 10 });
  statements.recordAcceptance("u1", 20);
  const options = {
    now: 30,
    requiresHeartbeats: false,
    request: { ...request, parts: [], promptTokens: 0, isLastTry: true },
  };
  const ranked = choice.rank(directory.list(), options);
  expect(ranked.map(({ upstream }) => upstream.record.id))
    .toEqual(["u1", "u0", "u2"]);
});
