import type { Milliseconds } from "@heroncleat/base";
import { fixedCosts, UpstreamBalancer, UpstreamDirectory } from "./mod.ts";
import { testRecord } from "./test_record.ts";

const parts = [{ id: "menu", tokens: 500 }, { id: "own", tokens: 500 }];
const prompt = {
  service: "writers",
  zone: "a",
  parts,
  promptTokens: 1000,
  excluded: new Set<string>(),
};
const plain = { ...prompt, parts: [], promptTokens: 0 };

function createDirectory(ids: readonly string[]): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  for (const id of ids) {
    directory.merge(testRecord({ id, name: id, address: `${id}:80` }), 0);
  }
  return directory;
}

/** Chooses among upstreams with 4 slots each. */
function choose(
  balancer: UpstreamBalancer,
  options: { request: typeof prompt; now: number; ids?: readonly string[] },
) {
  const { request, now, ids = ["u1"] } = options;
  return balancer.choose(createDirectory(ids).list(), {
    request,
    now,
    requiresHeartbeats: false,
  })!;
}

/** Serves a stream that holds a slot for 1.2 s after its prefill. */
function learnStreams(balancer: UpstreamBalancer): Milliseconds {
  const chosen = choose(balancer, { request: prompt, now: 0 });
  balancer.begin(chosen, { parts, now: 0 });
  balancer.end(chosen, { took: 2200, firstTokenAfter: 1000 });
  return 1200 + chosen.readTime;
}

describe("the wait for a slot", () => {
  // Guards against slots full of long decodes while the prefill backlog is
  // empty: the upstream looked as if it began at once.
  test("counts requests in flight beyond the slots, own and reported", () => {
    const balancer = new UpstreamBalancer();
    const hold = learnStreams(balancer);
    balancer.replaceReportedLoads({ u1: { requests: 3, backlog: 0 } }, 9000);
    const first = choose(balancer, { request: prompt, now: 9000 });
    expect(first.waiting).toBe(0);
    expect(first.hasOnlyPrefillDelay).toBe(true);
    balancer.begin(first, { parts, now: 9000 });
    const second = choose(balancer, { request: prompt, now: 9300 });
    expect(second.waiting).toBeCloseTo(hold / 4);
    expect(second.hasOnlyPrefillDelay).toBe(false);
    expect(second.expectedFirstTokenTime).toBeGreaterThan(hold / 4);
  });

  test("is longer than a backlog elsewhere, so that the request goes there", () => {
    const chooseWith = (balancer: UpstreamBalancer) => {
      learnStreams(balancer);
      balancer.replaceReportedLoads({
        u1: { requests: 4, backlog: 0 },
        u2: { requests: 1, backlog: 150 },
      }, 9000);
      const request = { ...prompt, parts: [] };
      return choose(balancer, { request, now: 9000, ids: ["u1", "u2"] })
        .upstream.record.id;
    };
    expect(chooseWith(new UpstreamBalancer())).toBe("u2");
    expect(chooseWith(new UpstreamBalancer({ costs: fixedCosts }))).toBe("u1");
  });

  // Guards against a plain service that never learns, as it has no prefill, and
  // against durations with a wait in them, which would be counted twice.
  test("is learned from plain calls that found a free slot", () => {
    const balancer = new UpstreamBalancer();
    const run = () => {
      const chosen = choose(balancer, { request: plain, now: 0 });
      balancer.begin(chosen, { parts: [], now: 0 });
      return chosen;
    };
    balancer.end(run(), { took: 20, firstTokenAfter: undefined });
    const runs = [run(), run(), run(), run(), run()];
    expect(runs.map(({ waiting }) => waiting)).toEqual([0, 0, 0, 0, 5]);
    balancer.end(runs[4]!, { took: 400, firstTokenAfter: undefined });
    expect(run().waiting).toBe(5);
  });

  // Guards against failed or aborted runs that end early.
  test("isn't learned from runs without a complete response", () => {
    const balancer = new UpstreamBalancer();
    const chosen = choose(balancer, { request: plain, now: 0 });
    balancer.begin(chosen, { parts: [], now: 0 });
    balancer.end(chosen);
    balancer.replaceReportedLoads({ u1: { requests: 8, backlog: 0 } }, 0);
    const next = choose(balancer, { request: plain, now: 0 });
    expect(next.waiting).toBe(0);
    // The full upstream is still avoided.
    expect(next.expectedFirstTokenTime).toBeGreaterThan(1000);
  });

  // Guards against an entry that is cut off and counts the requests of the last
  // report for ever.
  test("no longer counts reported requests once reports have stopped", () => {
    const balancer = new UpstreamBalancer();
    learnStreams(balancer);
    const loads = { u1: { requests: 8, backlog: 0 } };
    const waitingAt = (now: number) =>
      choose(balancer, { request: prompt, now }).waiting;
    balancer.replaceReportedLoads(loads, 0);
    const full = waitingAt(0);
    // A load that hasn't changed isn't reported again.
    balancer.applyLoadChanges({}, 5000);
    expect(waitingAt(7000)).toBe(full);
    expect(waitingAt(7200)).toBeLessThan(full);
    expect(waitingAt(9000)).toBe(0);
  });
});
