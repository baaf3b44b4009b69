import type { DispatchNotice } from "@heroncleat/schema";
import { UpstreamChoice, UpstreamDirectory } from "./mod.ts";

const parts = [{ id: "menu", tokens: 10_000 }, { id: "own", tokens: 500 }];

function directoryOf(count: number): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  for (let made = 0; made < count; made += 1) {
    directory.merge({
      id: `u${made}`,
      name: `u${made}`,
      born: undefined,
      service: "writers",
      address: `10.0.0.${made}:80`,
      zone: "a",
      slots: 4,
      sequence: 1,
      state: "ready",
      isSpot: false,
      leavesIn: undefined,
    }, 0);
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

/** Another entry sent the shared part, and it was read at once. */
function noticeOf(upstream: string): DispatchNotice {
  return {
    kind: "dispatch",
    upstream,
    readTime: 0,
    tokens: 10_000,
    parts: ["menu"],
  };
}

describe("the choice of an upstream", () => {
  test("is the same at entries that know nothing of each other", () => {
    const directory = directoryOf(8);
    const choose = () =>
      new UpstreamChoice().choose(directory.list(), {
        request,
        now: 0,
        trusts: true,
      })?.upstream.record.id;
    expect(choose()).toBe(choose());
  });

  test("goes where the shared part is, also when another entry sent it", () => {
    const directory = directoryOf(8);
    const choice = new UpstreamChoice();
    choice.learnDispatch(noticeOf("u3"), 0);
    const chosen = choice.choose(directory.list(), {
      request,
      now: 10,
      trusts: true,
    });
    expect(chosen?.upstream.record.id).toBe("u3");
    expect(chosen?.uncachedTokens).toBe(500);
  });

  test("leaves a busy upstream and names it as the source of the part", () => {
    const directory = directoryOf(2);
    const choice = new UpstreamChoice();
    choice.learnDispatch(noticeOf("u1"), 0);
    choice.learnOthers({ u1: { requests: 4, backlog: 2000 } }, 0);
    const chosen = choice.choose(directory.list(), {
      request,
      now: 10,
      trusts: true,
    });
    expect(chosen?.upstream.record.id).toBe("u0");
    expect(chosen?.source?.record.id).toBe("u1");
  });

  test("never takes one that drains, is excluded, paused or silent", () => {
    const directory = directoryOf(4);
    const choice = new UpstreamChoice();
    directory.merge(
      { ...directory.get("u0")!.record, sequence: 2, state: "draining" },
      5000,
    );
    choice.pause("u2", 5400);
    directory.merge({ ...directory.get("u2")!.record, sequence: 2 }, 5400);
    directory.merge({ ...directory.get("u3")!.record, sequence: 2 }, 5400);
    const excluded = new Set(["u3"]);
    const choose = (trusts: boolean) =>
      choice.choose(directory.list(), {
        request: { ...request, excluded },
        now: 5500,
        trusts,
      })?.upstream.record.id;
    expect(choose(true)).toBeUndefined();
    // Without updates, silence says nothing of u1.
    expect(choose(false)).toBe("u1");
  });

  test("accounts for requests under way until they end", () => {
    const directory = directoryOf(1);
    const choice = new UpstreamChoice();
    const chosen = choice.choose(directory.list(), {
      request,
      now: 0,
      trusts: true,
    })!;
    choice.begin(chosen, { parts, now: 0 });
    const { u0 } = choice.loads(0);
    expect(u0?.requests).toBe(1);
    expect(u0?.backlog).toBe(Math.round(chosen.readTime));
    choice.end(chosen);
    expect(choice.loads(0)).toEqual({});
  });

  test("keeps away from where another entry just sent a long prompt", () => {
    const directory = directoryOf(2);
    const sender = new UpstreamChoice();
    const other = new UpstreamChoice();
    const options = { request, now: 0, trusts: true };
    const first = sender.choose(directory.list(), options)!;
    other.learnDispatch(sender.begin(first, { parts, now: 0 }), 1);
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

  test("waits for a backlog only as long as it lasts", () => {
    const directory = directoryOf(2);
    const choice = new UpstreamChoice();
    choice.learnDispatch({
      kind: "dispatch",
      upstream: "u0",
      readTime: 900,
      tokens: 40_000,
      parts: ["menu"],
    }, 0);
    const chooseAt = (now: number) =>
      choice.choose(directory.list(), { request, now, trusts: true })!;
    expect(chooseAt(10).upstream.record.id).toBe("u1");
    expect(chooseAt(880).upstream.record.id).toBe("u0");
  });

  test("counts on a part until as many tokens came in as memory holds", () => {
    const directory = directoryOf(1);
    const choice = new UpstreamChoice();
    const engine = {
      slots: 4,
      kvCapacityTokens: 100_000,
      kvTokenBytes: 327_680,
      linkMbps: 270_000,
      canMove: false,
    };
    const send = (part: string, tokens: number) =>
      choice.learnDispatch({
        kind: "dispatch",
        upstream: "u0",
        readTime: 0,
        tokens,
        parts: [part],
      }, 0);
    const uncached = () =>
      choice.choose(directory.list(), {
        request: { ...request, engine },
        now: 0,
        trusts: true,
      })!.uncachedTokens;
    send("menu", 10_000);
    send("others", 60_000);
    expect(uncached()).toBe(500);
    send("more", 30_000);
    expect(uncached()).toBe(10_500);
  });

  test("fetches from the nearest upstream that has the part", () => {
    const directory = directoryOf(3);
    directory.merge({
      ...directory.get("u1")!.record,
      zone: "b",
      sequence: 2,
    }, 0);
    const choice = new UpstreamChoice();
    choice.learnDispatch(noticeOf("u1"), 0);
    choice.learnDispatch(noticeOf("u2"), 0);
    choice.learnOthers({
      u1: { requests: 0, backlog: 5000 },
      u2: { requests: 0, backlog: 5000 },
    }, 0);
    const chosen = choice.choose(directory.list(), {
      request,
      now: 0,
      trusts: true,
    });
    expect(chosen?.upstream.record.id).toBe("u0");
    expect(chosen?.source?.record.id).toBe("u2");
    expect(chosen?.fetchedTokens).toBe(10_000);
    expect(chosen?.uncachedTokens).toBe(500);
  });

  test("fetches nothing that is yet to be read, or from one that leaves", () => {
    const directory = directoryOf(2);
    const choice = new UpstreamChoice();
    const chooseAt = (now: number) =>
      choice.choose(directory.list(), { request, now, trusts: true })!;
    choice.learnDispatch({
      kind: "dispatch",
      upstream: "u1",
      readTime: 900,
      tokens: 40_000,
      parts: ["menu"],
    }, 0);
    expect(chooseAt(100).source).toBeUndefined();
    choice.learnOthers({ u1: { requests: 0, backlog: 5000 } }, 900);
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

  test("uses a kept connection where little else speaks for another", () => {
    const directory = directoryOf(3);
    const plain = { ...request, parts: [], promptTokens: 0 };
    const chosen = new UpstreamChoice().choose(directory.list(), {
      request: { ...plain, isConnected: (id) => id === "u2" },
      now: 0,
      trusts: true,
    });
    expect(chosen?.upstream.record.id).toBe("u2");
  });
});
