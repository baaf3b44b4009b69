import { CutChecks } from "./cut_checks.ts";

const CUT = "10.0.0.1";
const OTHER = "10.0.0.2";
const NOTICE_TIME_MS = 3000;

let now = 0;
beforeEach(() => {
  now = 0;
  jest.spyOn(performance, "now").mockImplementation(() => now);
});
afterEach(() => jest.restoreAllMocks());

/**
 * Plays a cut in which 2 of 55 requests are served where entries are cut off,
 * and 9 of 123 elsewhere.
 *
 * @param rest When all upstreams asked for rest, from the notice on.
 */
function playCut(
  rest: { readonly from: number; readonly until: number },
): string[] {
  const findings: string[] = [];
  const checks = new CutChecks({
    wasEntryUndisturbed: () => true,
    areRatesLimited: () => false,
    areAllAtRest: (since) =>
      now >= NOTICE_TIME_MS + rest.from && since < NOTICE_TIME_MS + rest.until,
    report: (text) => findings.push(text),
  });
  const end = checks.begin([CUT]);
  const send = (host: string, { at, status }: { at: number; status: number }) =>
    checks.recordOutcome({
      attempt: "r1-1",
      isNonIdempotent: false,
      entry: `${host}:80`,
      sentAt: at,
      timeLeft: 3000,
      problem: undefined,
      isWhole: status === 200,
      hasConnected: true,
      status,
    });
  for (let count = 0; count < 123; count += 1) {
    now = NOTICE_TIME_MS + 10 * count;
    send(OTHER, { at: now, status: count % 14 === 0 ? 200 : 503 });
    if (count < 55) {
      now = NOTICE_TIME_MS + 20 * count;
      send(CUT, { at: now, status: count % 28 === 0 ? 200 : 503 });
    }
  }
  end();
  return findings;
}

test("shares aren't compared while all upstreams ask for rest", () => {
  expect(playCut({ from: 0, until: Infinity })).toEqual([]);
});

test("shares are compared when upstreams ask for no rest, or others do", () => {
  expect(playCut({ from: 0, until: 0 })).toEqual([
    `entries that reached no upstream (${CUT}) served 2 of 55 requests, the ` +
    "others 9 of 123",
  ]);
});

test("shares are compared for the time before and after a rest", () => {
  expect(playCut({ from: 400, until: 500 })).toHaveLength(1);
});

test("a request that was sent in a rest and ends after it is left out", () => {
  expect(playCut({ from: 0, until: 2000 })).toEqual([]);
});
