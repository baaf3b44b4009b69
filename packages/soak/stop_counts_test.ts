import { StopCounts } from "./stop_counts.ts";

const SIGNALLED_AT_MS = 1000;

const run = {
  attempt: "r1-1",
  upstream: "desk-a-1",
  from: "10.0.0.1",
  at: 1200,
  firstAt: 1200,
  isNonIdempotent: false,
  isResumed: false,
  target: "/look/",
  crashCause: undefined,
};

const outcome = {
  attempt: "r1-1",
  isNonIdempotent: false,
  status: 502,
  isWhole: false,
  hasConnected: true,
  entry: "10.0.0.1:80",
  sentAt: 1190,
  timeLeft: 3000,
  problem: undefined,
};

const cut = { kind: "cut", at: 3000 } as const;

let counts = new StopCounts();
beforeEach(() => {
  counts = new StopCounts();
});

function record(
  change: Partial<typeof outcome>,
  sent: typeof run & { end?: typeof cut } | undefined,
): void {
  const signals = [SIGNALLED_AT_MS];
  counts.record({ ...outcome, ...change }, { run: sent, signals });
}

test("requests sent on after the signal are counted, cut or whole", () => {
  record({ status: 200, isWhole: true }, run);
  record({}, { ...run, end: cut });
  record({}, run);
  expect(counts).toMatchObject({ taken: 3, cut: 1, outlasted: 0 });
});

test("a request that was sent on before the signal outlasts the stop", () => {
  record({}, { ...run, at: 900, firstAt: 900, end: cut });
  expect(counts).toMatchObject({ taken: 0, cut: 0, outlasted: 1 });
});

test("a later try of a request sent on before the signal isn't taken", () => {
  record({}, { ...run, firstAt: 900, end: cut });
  expect(counts).toMatchObject({ taken: 0, outlasted: 1 });
});

test("refusals and lost connections that reach no upstream are told apart", () => {
  record({ status: 503 }, undefined);
  record({ status: 0 }, undefined);
  record({ status: 0, hasConnected: false }, undefined);
  expect(counts).toMatchObject({ refused: 1, unanswered: 1, taken: 0 });
});
