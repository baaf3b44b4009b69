import { UpstreamChoice, UpstreamDirectory } from "./mod.ts";

const parts = [{ id: "menu", tokens: 10_000 }, { id: "own", tokens: 500 }];

function directoryOf(count: number): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  for (let made = 0; made < count; made += 1) {
    directory.merge({
      id: `u${made}`,
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
    choice.learnPlacements([{ part: "menu", upstream: "u3" }], 0);
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
    choice.learnPlacements([{ part: "menu", upstream: "u1" }], 0);
    choice.learnOthers({ u1: { requests: 4, waitingTokens: 90_000 } });
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
    // Without news, silence says nothing of u1.
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
    expect(choice.loads()).toEqual({
      u0: { requests: 1, waitingTokens: 10_500 },
    });
    choice.noteFirstByte(chosen);
    choice.end(chosen, { began: true });
    expect(choice.loads()).toEqual({});
  });
});
