import { PlayedQuotas } from "./played_quotas.ts";

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

/** Twelve entries, with a control replica beside each third one. */
function play(seed: number): PlayedQuotas {
  return new PlayedQuotas({
    entries: 12,
    replicas: [0, 3, 6, 9],
    rate: 146_600,
    seed,
    advanceTimers: (milliseconds) =>
      jest.advanceTimersByTimeAsync(milliseconds),
  });
}

/** Whether two hosts stand in different halves of the control replicas. */
function isAcross(left: number, right: number): boolean {
  const halves = [[0, 6], [3, 9]];
  const sides = [left, right].map((host) =>
    halves.findIndex((half) => half.includes(host))
  );
  return !sides.includes(-1) && sides[0] !== sides[1];
}

const USUAL = 0.55;
/** A workspace at 7.5 times its usual. */
const HOT = 4.2;

// What callers saw: a workspace got 6 to 17 % more in 8 s than may be tolerated
// beyond its quota.
//
// It had begun to ask for 7.5 times its usual, and the control replicas were
// then cut into halves that most entries still reached. Each half's replicas
// heard and told only what that half's entries charged, and an entry that
// heard both took the larger of the two sums for the whole. Evidence: what the
// entries charged adds up to what was judged, and during the cut it was 1.16 to
// 1.3 times the rate; the same load without the cut stayed within.
test("a quota holds while each control replica hears a part of the entries", async () => {
  const beyond: number[] = [];
  for (const seed of [1, 2, 3, 4, 5, 6]) {
    const quotas = play(seed);
    await quotas.run(2000, USUAL);
    await quotas.run(2000, HOT);
    quotas.isCut = isAcross;
    quotas.leader = undefined;
    await quotas.run(6500, HOT);
    quotas.isCut = () => false;
    quotas.leader = 3;
    await quotas.run(4000, HOT);
    quotas.close();
    beyond.push(quotas.mostBeyond);
  }
  // Parts of what is tolerated, at most: 1.25 where halves aren't joined.
  expect(Math.max(...beyond)).toBeLessThan(0.9);
});
