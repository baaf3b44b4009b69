import { RunChecks } from "./run_checks.ts";

const TIMEOUT_MS = 3000;
const ENTRY = "10.0.0.1";
const RELAY = "10.0.0.2";

let now = 0;
beforeEach(() => {
  now = 1000;
  jest.useFakeTimers();
  jest.spyOn(performance, "now").mockImplementation(() => now);
});
afterEach(() => {
  jest.useRealTimers();
  jest.restoreAllMocks();
});

/** Plays a run that was sent at 0 and ends at its caller at 1000 ms. */
async function playRun(
  {
    isCut = true,
    isRunAgain = false,
    status = 0,
    endedAt = 1000,
    disturbed = "",
    timeLeft = TIMEOUT_MS,
    silentAt = -1,
  }: {
    isCut?: boolean;
    isRunAgain?: boolean;
    timeLeft?: number;
    silentAt?: number;
    status?: number;
    endedAt?: number;
    disturbed?: string;
  },
): Promise<string[]> {
  now = endedAt;
  const findings: string[] = [];
  const checks = new RunChecks({
    timeout: () => TIMEOUT_MS,
    wasUndisturbed: (host) => host !== disturbed,
    wereSilent: (from, to) => from <= silentAt && silentAt <= to,
    changedAt: () => 400,
    report: (text) => findings.push(text),
  });
  const recorded = checks.recordOutcome({
    attempt: "r1-1",
    isNonIdempotent: true,
    entry: `${ENTRY}:80`,
    sentAt: 0,
    timeLeft,
    problem: undefined,
    status,
  });
  const run = {
    attempt: "r1-1",
    upstream: "desk-a-1",
    from: RELAY,
    at: 10,
    isNonIdempotent: true,
    isResumed: false,
    target: "/book/",
    crashCause: undefined,
  };
  checks.recordRun(run);
  if (isCut) {
    checks.recordCut(run);
  }
  if (isRunAgain) {
    checks.recordRun(run);
  }
  jest.advanceTimersByTime(TIMEOUT_MS);
  await recorded;
  return findings;
}

test("a run that is cut at a sound upstream is reported with the last change", async () => {
  expect(await playRun({})).toEqual([
    `r1-1 to ${ENTRY}:80 ended with 0 after 1000 ms, while its run at ` +
    `desk-a-1, sent by ${RELAY} 990 ms before, went on; the configuration ` +
    "was last changed 600 ms before",
  ]);
  expect(await playRun({ status: 502 })).toHaveLength(1);
});

test("a run that its upstream ended, or that was served, isn't reported", async () => {
  expect(await playRun({ isCut: false })).toEqual([]);
  expect(await playRun({ isRunAgain: true })).toEqual([]);
  expect(await playRun({ status: 200 })).toEqual([]);
});

test("a run that is cut by its deadline or by a fault isn't reported", async () => {
  expect(await playRun({ endedAt: 2800 })).toEqual([]);
  expect(await playRun({ timeLeft: 1000 })).toEqual([]);
  expect(await playRun({ disturbed: ENTRY })).toEqual([]);
  expect(await playRun({ disturbed: RELAY })).toEqual([]);
  expect(await playRun({ silentAt: 500 })).toEqual([]);
  expect(await playRun({ silentAt: 1001 })).toHaveLength(1);
});
