import {
  limitPrefill,
  type PromptPart,
  UpstreamBalancer,
  UpstreamDirectory,
} from "./mod.ts";
import { testRecord } from "./test_record.ts";

const TIME_LEFT = 1500;
const TOKENS = 1_000_000_000;

/** A balancer with one upstream, and its choice for a prompt without parts. */
function createBalancer() {
  const directory = new UpstreamDirectory();
  directory.merge(testRecord({ id: "u0", name: "u0" }), 0);
  const balancer = new UpstreamBalancer();
  const choose = (promptTokens: number, now = 0) =>
    balancer.choose(directory.list(), {
      request: {
        service: "writers",
        zone: "a",
        parts: [],
        promptTokens,
        excluded: new Set<string>(),
      },
      now,
      requiresHeartbeats: false,
    })!;
  return { balancer, choose };
}

// Guards against an upstream that gets no requests for years.
test("a prompt of false length counts as work at most until its request is given up", () => {
  const { balancer, choose } = createBalancer();
  const chosen = limitPrefill(choose(TOKENS, 0), { timeLeft: TIME_LEFT });
  const notice = balancer.begin(chosen, { parts: [], now: 0 });
  expect(notice.readTime).toBe(TIME_LEFT);
  expect(choose(10, 0).waiting).toBe(TIME_LEFT);
  expect(choose(10, TIME_LEFT).waiting).toBe(0);
  const work = balancer.prefillWork()["writers"]!;
  expect(work).toBeLessThanOrEqual(TIME_LEFT);
});

// Guards against a few such prompts that keep others away for their timeouts.
test("a prompt of false length doesn't count as work once its prefill has ended", () => {
  const { balancer, choose } = createBalancer();
  const send = (promptTokens: number) => {
    const chosen = limitPrefill(choose(promptTokens, 0), {
      timeLeft: TIME_LEFT,
    });
    balancer.begin(chosen, { parts: [], now: 0 });
    return chosen;
  };
  const sound = send(1000);
  const falses = Array.from({ length: 20 }, () => send(TOKENS));
  const last = send(2000);
  expect(choose(10, 5).waiting).toBeGreaterThan(TIME_LEFT * 19);
  for (const chosen of falses) {
    balancer.endPrefill(chosen, 5);
    balancer.endPrefill(chosen, 6);
  }
  const expected = sound.readTime + last.readTime;
  expect(choose(10, 5).waiting).toBeCloseTo(expected - 5, 6);
  expect(balancer.loads(5)["u0"]!.backlog).toBe(Math.round(expected - 5));
  balancer.endPrefill(last, expected);
  expect(choose(10, expected).waiting).toBe(0);
});

// Guards against estimates for other callers that a false length distorts.
test("a prompt of false length says nothing about speeds and slots", () => {
  const { balancer, choose } = createBalancer();
  for (let index = 0; index < 60; index += 1) {
    const chosen = index % 2 === 0
      ? choose(100)
      : limitPrefill(choose(TOKENS), { timeLeft: TIME_LEFT });
    balancer.begin(chosen, { parts: [], now: 0 });
    balancer.recordFirstToken(chosen, 5);
    balancer.endPrefill(chosen, 0);
    balancer.end(chosen, { took: 10, firstTokenAfter: 5 });
  }
  expect(choose(100).isPrefillSpeedKnown).toBe(false);
  balancer.replaceReportedLoads({ u0: { requests: 8, backlog: 0 } }, 0);
  expect(choose(100).waiting).toBeLessThan(TIME_LEFT / 10);
});

// Guards against prompts of other callers that count as evicted.
test("a prompt of false length evicts no cached parts of other prompts", () => {
  const directory = new UpstreamDirectory();
  directory.merge(testRecord({ id: "u0", name: "u0" }), 0);
  const balancer = new UpstreamBalancer();
  const send = (promptTokens: number, parts: readonly PromptPart[]) => {
    const chosen = limitPrefill(
      balancer.choose(directory.list(), {
        request: {
          service: "writers",
          zone: "a",
          parts,
          promptTokens,
          excluded: new Set<string>(),
        },
        now: 0,
        requiresHeartbeats: false,
      })!,
      { timeLeft: TIME_LEFT },
    );
    balancer.begin(chosen, { parts, now: 0 });
    return chosen;
  };
  const parts = [{ id: "shared", tokens: 1000 }, { id: "own", tokens: 10 }];
  send(1010, parts);
  send(TOKENS, []);
  expect(send(1010, parts).uncachedTokens).toBe(0);
});

test("a prompt that is prefilled in time isn't limited", () => {
  const directory = new UpstreamDirectory();
  directory.merge(testRecord({ id: "u0", name: "u0" }), 0);
  const chosen = new UpstreamBalancer().choose(directory.list(), {
    request: {
      service: "writers",
      zone: "a",
      parts: [],
      promptTokens: 1000,
      excluded: new Set<string>(),
    },
    now: 0,
    requiresHeartbeats: false,
  })!;
  expect(limitPrefill(chosen, { timeLeft: TIME_LEFT })).toBe(chosen);
});
