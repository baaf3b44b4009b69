import { DrainChecks } from "./drain_checks.ts";

const DRAIN_TIME_MS = 2000;

function createChecks(options: { isUndisturbed?: boolean } = {}) {
  const { isUndisturbed = true } = options;
  const findings: string[] = [];
  const checks = new DrainChecks({
    drainTime: DRAIN_TIME_MS,
    wasReplicaUndisturbed: () => true,
    wasEntryUndisturbed: () => isUndisturbed,
    describe: (host) => host,
    report: (promise) => findings.push(promise),
  });
  checks.recordDeparture({
    upstream: "desk-a-1",
    at: 0,
    by: "10.0.0.9:80",
    mode: "drains",
  });
  const receive = (
    upstream: string,
    { at, attempt, isResumed = false }: {
      at: number;
      attempt: string;
      isResumed?: boolean;
    },
  ) =>
    checks.checkReceived({
      attempt,
      upstream,
      from: "10.0.0.1",
      at,
      isNonIdempotent: false,
      isResumed,
      target: "/look/",
      crashCause: undefined,
    });
  return { receive, findings };
}

test("a first try at an upstream that entries know to drain is reported", () => {
  const { receive, findings } = createChecks();
  receive("desk-a-1", { at: 900, attempt: "r1-1" });
  expect(findings).toEqual([]);
  receive("desk-a-1", { at: 1100, attempt: "r1-2" });
  receive("desk-a-1", { at: 1200, attempt: "r1-3" });
  expect(findings).toEqual(["draining"]);
});

test("an upstream that drains may get resumed streams and second tries", () => {
  const { receive, findings } = createChecks();
  receive("desk-a-1", { at: 1900, attempt: "r1-1", isResumed: true });
  receive("desk-b-2", { at: 1900, attempt: "r1-2" });
  receive("desk-a-1", { at: 1950, attempt: "r1-2" });
  expect(findings).toEqual([]);
});

test("a resumed stream after the drain timeout is reported", () => {
  const { receive, findings } = createChecks();
  receive("desk-a-1", { at: 2001, attempt: "r1-1", isResumed: true });
  expect(findings).toEqual(["leaving"]);
});

test("what disturbed entries send isn't reported", () => {
  const { receive, findings } = createChecks({ isUndisturbed: false });
  receive("desk-a-1", { at: 1500, attempt: "r1-1" });
  receive("desk-a-1", { at: 2500, attempt: "r1-2" });
  expect(findings).toEqual([]);
});
