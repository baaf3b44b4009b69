import fc from "fast-check";
import { IsolatedQuota, WorkspaceQuota } from "./mod.ts";
import { simulatedWorkspace as workspace } from "./simulated_workspace.ts";

const settings = { isFresh: true, window: 8000, overshoot: 0.1, tolerance: 0 };
const KNOWN_ENTRIES = 12;
const REPORT_INTERVAL = 200;

/** An entry without a reachable control replica. */
class IsolatedEntry {
  readonly quota = new WorkspaceQuota(settings);
  readonly reported = new IsolatedQuota();
  readonly name: string;

  constructor(name: string) {
    this.name = name;
    this.quota.charge(workspace, { amount: 1, now: 0 });
    this.quota.isolate(1 / KNOWN_ENTRIES, 0);
  }
}

/** Lets each entry report its charges to the entries that receive from it. */
function exchangeReports(
  entries: readonly IsolatedEntry[],
  options: { now: number; receives: (from: number, to: number) => boolean },
): void {
  const { now, receives } = options;
  entries.forEach((from, sender) => {
    entries.forEach((to, receiver) => {
      if (sender !== receiver && receives(sender, receiver)) {
        const spent = from.quota.spent();
        to.reported.receive(
          { entry: from.name, boot: "1", spent, isOpen: true },
          now,
        );
      }
    });
  });
  for (const { quota, reported } of entries) {
    quota.applyCharges("entries", reported.quotaUpdate(KNOWN_ENTRIES, now));
  }
}

function createEntries(count: number): IsolatedEntry[] {
  return Array.from({ length: count }, (_, at) => new IsolatedEntry(`e${at}`));
}

describe("quotas while no control replica is reachable", () => {
  test("serve requests within the share of the entries that reach each other", () => {
    const entries = createEntries(8);
    let requested = 0;
    let served = 0;
    for (let now = 0; now < 20_000; now += REPORT_INTERVAL) {
      exchangeReports(entries, { now, receives: () => true });
      // All callers use two of the entries; the load is within 8 of 12 shares.
      for (const { quota } of entries.slice(0, 2)) {
        requested += 1;
        served += quota.charge(workspace, { amount: 60, now }).ok ? 1 : 0;
      }
    }
    expect(served / requested).toBeGreaterThan(0.95);
  });

  test("bound the sum over both sides of a partition", () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(11), fc.integer({ min: 1, max: 90 })), {
          minLength: 800,
          maxLength: 1200,
        }),
        (steps) => expectBounded(steps),
      ),
      { numRuns: 30, endOnFailure: true },
    );
  });

  test("fall back to an even share when the other entries time out", () => {
    const reported = new IsolatedQuota();
    const updates = { entry: "e1", boot: "1", spent: { inn: 5 }, isOpen: true };
    reported.receive({ ...updates, spent: { inn: 0 } }, 0);
    reported.receive(updates, 0);
    expect(reported.isOpen("e1", 100)).toBe(true);
    expect(reported.isOpen("e1", 5000)).toBe(false);
    reported.receive({ ...updates, isOpen: false }, 100);
    expect(reported.isOpen("e1", 100)).toBe(false);
    expect(reported.quotaUpdate(4, 100)).toMatchObject({
      share: 0.5,
      entries: 2,
      spent: { inn: 5 },
    });
    expect(reported.quotaUpdate(4, 5100)).toMatchObject({
      share: 0.25,
      entries: 1,
    });
  });
});

// Guards against a quota that is charged twice after a relaying entry left out
// what it doesn't know.
test("charges that a report leaves out don't count again", () => {
  const reported = new IsolatedQuota();
  const report = (spent: Record<string, number>) =>
    reported.receive({ entry: "e1", boot: "1", spent, isOpen: true }, 0);
  report({ inn: 0, bar: 0 });
  report({ inn: 5, bar: 5 });
  report({ inn: 6 });
  report({ inn: 6, bar: 7 });
  expect(reported.quotaUpdate(2, 0).spent).toEqual({ inn: 6, bar: 7 });
});

/** Callers request 4.5 times the rate from entries of both halves. */
function expectBounded(steps: [number, number][]): void {
  const entries = createEntries(12);
  const half = (at: number) => at < 6;
  let now = 0;
  let reportedAt = -REPORT_INTERVAL;
  let granted = 0;
  for (const [index, amount] of steps) {
    now += 10;
    if (now - reportedAt >= REPORT_INTERVAL) {
      reportedAt = now;
      exchangeReports(entries, {
        now,
        receives: (from, to) => half(from) === half(to),
      });
    }
    const { ok } = entries[index]!.quota.charge(workspace, { amount, now });
    granted += ok ? amount : 0;
  }
  // Each half starts with a full bucket; the rate is distributed once.
  const bound = 2 * workspace.burst + workspace.rate * now / 1000 * 1.2;
  expect(granted).toBeLessThanOrEqual(bound);
}
