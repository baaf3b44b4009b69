import {
  type ChosenUpstream,
  RateLimitRegistry,
  RevisionCounter,
  SendPermits,
} from "@heroncleat/serving";
import { findUpstream } from "./find_upstream.ts";

const requestClass = { service: "desk", priority: 1, workspace: "inn" };
const OTHER_CLASS = { ...requestClass, priority: 0 };

function createPermits(limits: Record<string, number>): SendPermits {
  const registry = new RateLimitRegistry(new RevisionCounter());
  for (const [upstream, rate] of Object.entries(limits)) {
    registry.recordResponse(upstream, { rate }, { sentAt: 0, receivedAt: 0 });
  }
  return new SendPermits({
    limits: registry,
    entry: "e",
    trueTime: (monotonic) => monotonic,
  });
}

function rank(...ids: string[]): ChosenUpstream[] {
  return ids.map((id) => ({ upstream: { record: { id } } }) as ChosenUpstream);
}

test("a request asks for the upstream it prefers, if that has a limit", () => {
  const permits = createPermits({ a: 1 });
  const options = { permits, requestClass, now: 0, hasAsked: false };
  expect(findUpstream(rank("a", "b"), options)).toEqual(
    { kind: "ask", upstreams: ["a"], hasAlternative: true },
  );
  expect(findUpstream(rank("b", "a"), options)).toMatchObject(
    { kind: "chosen", permit: undefined },
  );
});

test("a request that was denied goes to the next upstream, or is refused", () => {
  const permits = createPermits({ a: 1, b: 2 });
  permits.recordOutcome(requestClass, {
    granted: null,
    availableIn: { a: 800, b: 300 },
  }, 0);
  const options = { permits, requestClass, now: 100, hasAsked: true };
  expect(findUpstream(rank("a", "c"), options)).toMatchObject({
    kind: "chosen",
    chosen: { upstream: { record: { id: "c" } } },
  });
  expect(findUpstream(rank("a", "b"), options)).toEqual(
    { kind: "limited", upstreams: ["a", "b"] },
  );
  expect(permits.availableIn(["a", "b"], { requestClass, now: 100 })).toBe(200);
});

test("a denial doesn't keep requests of another class from asking", () => {
  const permits = createPermits({ a: 1 });
  permits.recordOutcome(requestClass, {
    granted: null,
    availableIn: { a: 800 },
  }, 0);
  expect(findUpstream(rank("a"), {
    permits,
    requestClass: OTHER_CLASS,
    now: 0,
    hasAsked: false,
  })).toMatchObject({ kind: "ask", hasAlternative: false });
});

// Guards against a permit that lapses while its request asks for a better one.
test("a request takes the permit that it was granted, once", () => {
  const permits = createPermits({ a: 1, b: 1 });
  permits.recordOutcome(requestClass, { granted: "b", availableIn: {} }, 0);
  const options = { permits, requestClass, now: 10, hasAsked: true };
  const decision = findUpstream(rank("a", "b"), options);
  expect(decision).toMatchObject({ kind: "chosen", permit: { upstream: "b" } });
  expect(findUpstream(rank("b"), options)).toMatchObject({ kind: "ask" });
  if (decision.kind === "chosen") {
    permits.giveBack(decision.permit!);
  }
  expect(findUpstream(rank("b"), options)).toMatchObject({ kind: "chosen" });
});

test("a permit lapses", () => {
  const permits = createPermits({ a: 1 });
  permits.recordOutcome(requestClass, { granted: "a", availableIn: {} }, 0);
  const options = { permits, requestClass, now: 600, hasAsked: true };
  expect(findUpstream(rank("a"), options)).toMatchObject({ kind: "ask" });
});

// Guards against an upstream that is left alone, so that its limit never ends.
test("an upstream whose limit was stated long ago is preferred", () => {
  const permits = createPermits({ a: 1 });
  const options = { permits, requestClass, now: 5001, hasAsked: false };
  expect(findUpstream(rank("b", "a"), options)).toMatchObject(
    { kind: "ask", upstreams: ["a"] },
  );
});

test("no request waits for a primary that doesn't reply", () => {
  const permits = createPermits({ a: 1 });
  permits.setEntries(["e"], 1);
  const wanted = { ...requestClass, upstreams: ["a"] };
  permits.recordFailure(wanted, 0);
  const options = { permits, requestClass, hasAsked: false };
  expect(findUpstream(rank("a"), { ...options, now: 50 }).kind).toBe("limited");
  // After a while the entries take turns.
  expect(findUpstream(rank("a"), { ...options, now: 2500 }).kind)
    .toBe("chosen");
  // The primary replies again.
  permits.recordPrimary({ isIssuing: true, now: 2600 });
  expect(findUpstream(rank("a"), { ...options, now: 2600 }).kind).toBe("ask");
});

describe("upstreams that limit their rejections", () => {
  const free = { permits: createPermits({}), requestClass, now: 0 };
  const overloaded = (limits: Record<string, number>, ids: string[]) => {
    const registry = new RateLimitRegistry(new RevisionCounter());
    for (const [upstream, rate] of Object.entries(limits)) {
      registry.recordResponse(upstream, { rate, isOfRejections: true }, {
        sentAt: 0,
        receivedAt: 0,
      });
    }
    const permits = new SendPermits({
      limits: registry,
      entry: "e",
      trueTime: (monotonic) => monotonic,
    });
    permits.setEntries(["e", "f"], 2);
    const ranked = (ownRequests: number) =>
      ids.map((id) =>
        ({
          upstream: { record: { id, slots: 8 } },
          ownRequests,
        }) as ChosenUpstream
      );
    return (ownRequests: number) =>
      findUpstream(ranked(ownRequests), { ...free, permits, hasAsked: false });
  };

  test("get requests within the entry's share of the slots without a permit", () => {
    const find = overloaded({ a: 4 }, ["a"]);
    expect(find(3)).toMatchObject({ kind: "chosen", permit: undefined });
    expect(find(4)).toMatchObject({ kind: "ask", upstreams: ["a"] });
  });

  test("get no more than that as long as they haven't stated their limit", () => {
    const find = overloaded({ a: 4 }, ["new", "a"]);
    expect(find(3)).toMatchObject({
      kind: "chosen",
      chosen: { upstream: { record: { id: "new" } } },
    });
    expect(find(4)).toMatchObject({ kind: "ask", upstreams: ["a"] });
  });
});
