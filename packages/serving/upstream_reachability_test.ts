import { UpstreamReachability } from "./upstream_reachability.ts";

const failure = (now: number, startedAt = now - 10) => ({
  startedAt,
  now,
  upstreams: 6,
  isSilent: true,
});

/** Lets upstreams fail one after the other; returns the verdicts. */
function failAll(reachability: UpstreamReachability, names: string, now = 100) {
  return [...names].map((name) =>
    reachability.recordFailure(name, failure(now))
  );
}

test("an entry is cut off once several upstreams fail and none responds", () => {
  const reachability = new UpstreamReachability();
  expect(failAll(reachability, "aab")).toEqual(["none", "none", "probe"]);
  expect(reachability.countMissing({ upstreams: 6 })).toBe(4);
  expect(failAll(reachability, "bcde")).toEqual(Array(4).fill("none"));
  expect(reachability.isCutOff).toBe(false);
  expect(failAll(reachability, "fg")).toEqual(["cut_off", "none"]);
  expect(reachability.isCutOff).toBe(true);
});

test("a wave that ends most upstreams isn't taken for a cut", () => {
  const reachability = new UpstreamReachability();
  failAll(reachability, "abcde");
  reachability.recordConnection(150);
  failAll(reachability, "abcde", 200);
  expect(reachability.isCutOff).toBe(false);
});

// Guards against entries that pass requests on while another version serves.
test("a version whose upstreams all end isn't taken for a cut", () => {
  const reachability = new UpstreamReachability();
  const ended = { ...failure(100), upstreams: 12, untriedVersions: 1 };
  for (const name of "abcdefg") {
    expect(reachability.recordFailure(name, ended)).not.toBe("cut_off");
  }
  expect(reachability.countMissing(ended)).toBe(1);
  const other = { ...ended, untriedVersions: 0 };
  expect(reachability.recordFailure("h", other)).toBe("cut_off");
});

test("upstreams that end while others respond don't count", () => {
  const reachability = new UpstreamReachability();
  for (let round = 0; round < 20; round += 1) {
    const now = 1000 + round * 100;
    reachability.recordFailure(`gone-${round}`, failure(now));
    reachability.recordResponse(now + 50);
  }
  // The connection began to open before the response.
  reachability.recordFailure("late", failure(3200, 2900));
  reachability.recordFailure("later", failure(3300, 2910));
  expect(reachability.isCutOff).toBe(false);
});

test("two failures raise doubt until a response, or for a short time", () => {
  const reachability = new UpstreamReachability();
  failAll(reachability, "a");
  expect(reachability.isInDoubt(110)).toBe(false);
  failAll(reachability, "b");
  expect(reachability.isInDoubt(110)).toBe(true);
  expect(reachability.isInDoubt(900)).toBe(false);
  reachability.recordResponse(120);
  expect(reachability.isInDoubt(130)).toBe(false);
});

test("refused connections raise no doubt, as others can be tried at once", () => {
  const reachability = new UpstreamReachability();
  for (const name of "abc") {
    reachability.recordFailure(name, { ...failure(100), isSilent: false });
  }
  expect(reachability.isInDoubt(110)).toBe(false);
});

test("failures count for a limited time", () => {
  const reachability = new UpstreamReachability();
  failAll(reachability, "abcde");
  reachability.recordFailure("f", failure(5000));
  expect(reachability.isCutOff).toBe(false);
});

test("the only upstream of a service suffices", () => {
  const reachability = new UpstreamReachability();
  const only = { ...failure(100), upstreams: 1 };
  expect(reachability.recordFailure("a", only)).toBe("cut_off");
});

test("responses on open connections don't end a cut, a new connection does", () => {
  const reachability = new UpstreamReachability();
  failAll(reachability, "abcdef");
  reachability.recordResponse(200);
  expect(reachability.isCutOff).toBe(true);
  expect(reachability.recordConnection(300)).toBe(true);
  expect(reachability.isCutOff).toBe(false);
  expect(reachability.hasFailed("a")).toBe(false);
});

test("silence is probed only while a request waits, and at intervals", () => {
  const reachability = new UpstreamReachability();
  reachability.recordResponse(1000);
  expect(reachability.takeProbe(undefined, 5000)).toBe(false);
  expect(reachability.takeProbe(4700, 5000)).toBe(false);
  expect(reachability.takeProbe(4000, 5000)).toBe(true);
  expect(reachability.takeProbe(4000, 5500)).toBe(false);
  reachability.recordResponse(5600);
  // An upstream that falls silent for a second while others respond.
  expect(reachability.takeProbe(4000, 5800)).toBe(false);
});

test("a cut is probed at short intervals without any request", () => {
  const reachability = new UpstreamReachability();
  failAll(reachability, "abcdef");
  expect(reachability.takeProbe(undefined, 200)).toBe(true);
  expect(reachability.takeProbe(undefined, 300)).toBe(false);
  expect(reachability.takeProbe(undefined, 500)).toBe(true);
});
