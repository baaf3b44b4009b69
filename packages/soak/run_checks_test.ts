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

/**
 * Plays a run that is sent at 0, begins at 10 ms and ends at its caller at 1000
 * ms.
 */
async function playRun(
  {
    isCut = true,
    isRunAgain = false,
    status = 0,
    endedAt = 1000,
    disturbed = "",
    timeLeft = TIMEOUT_MS,
    timeout = TIMEOUT_MS,
    silentAt = -1,
    isWhole = status === 200,
    completeAt,
    signalledAt,
  }: {
    isCut?: boolean;
    isRunAgain?: boolean;
    timeLeft?: number;
    timeout?: number;
    silentAt?: number;
    isWhole?: boolean;
    /** When the upstream has sent its whole response, in place of the cut. */
    completeAt?: number;
    /** When the entry that sent the run was told to stop. */
    signalledAt?: number;
    status?: number;
    endedAt?: number;
    disturbed?: string;
  },
): Promise<string[]> {
  const findings: string[] = [];
  const checks = new RunChecks({
    timeout: () => timeout,
    wasUndisturbed: (host) => host !== disturbed,
    wereSilent: (from, to) => from <= silentAt && silentAt <= to,
    changedAt: () => 400,
    findSignal: (host) => host === RELAY ? signalledAt : undefined,
    report: (text) => findings.push(text),
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
  if (completeAt !== undefined) {
    now = completeAt;
    checks.recordCompletion(run);
  }
  now = endedAt;
  const recorded = checks.recordOutcome({
    attempt: "r1-1",
    isNonIdempotent: true,
    entry: `${ENTRY}:80`,
    sentAt: 0,
    timeLeft,
    problem: undefined,
    isWhole,
    hasConnected: true,
    status,
  });
  if (isCut && completeAt === undefined) {
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
    `r1-1 to ${ENTRY}:80 ended with 0 after 1000 ms, while its run of ` +
    `/book/ at desk-a-1, sent by ${RELAY} 990 ms before, went on; the configuration ` +
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

test("a run that began after the signal to stop and is cut is reported", async () => {
  const time = { endedAt: 3900, timeLeft: 8000, timeout: 8000 };
  expect(await playRun({ ...time, signalledAt: -300 })).toEqual([
    expect.stringContaining(
      "; its entry was told to stop 4200 ms before, the first run began 310 " +
        "ms after that",
    ),
  ]);
});

test("a run that began before the signal may be cut as the grace period ends", async () => {
  const time = { timeLeft: 8000, timeout: 8000, signalledAt: 20 };
  expect(await playRun({ ...time, endedAt: 3900 })).toEqual([]);
  expect(await playRun({ ...time, endedAt: 3500 })).toHaveLength(1);
});

test("an answer that an upstream has sent to an entry that stops must arrive", async () => {
  expect(await playRun({ completeAt: 800, signalledAt: 500 })).toEqual([
    expect.stringContaining("was complete 200 ms before"),
  ]);
  expect(await playRun({ completeAt: 950, signalledAt: 500 })).toEqual([]);
  expect(await playRun({ completeAt: 800 })).toEqual([]);
});

test("an answer with status 200 that was cut isn't whole", async () => {
  expect(await playRun({ status: 200, isWhole: false })).toHaveLength(1);
});
