import fc from "fast-check";
import { IsolatedQuota, WorkspaceQuota } from "./mod.ts";
import { simulatedWorkspace as workspace } from "./simulated_workspace.ts";

const settings = { isFresh: true, window: 8000, overshoot: 0.1, tolerance: 0 };
const KNOWN = 12;
const SHARE_INTERVAL = 200;

/** An entry that reaches no control replica. */
class IsolatedEntry {
  readonly quota = new WorkspaceQuota(settings);
  readonly reported = new IsolatedQuota();
  readonly name: string;

  constructor(name: string) {
    this.name = name;
    this.quota.charge(workspace, { amount: 1, now: 0 });
    this.quota.isolate(1 / KNOWN, 0);
  }
}

/** Each entry reports those of its side what it charged. */
function share(
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
    quota.learnOthers("entries", reported.learnt(KNOWN, now));
  }
}

function makeEntries(count: number): IsolatedEntry[] {
  return Array.from({ length: count }, (_, at) => new IsolatedEntry(`e${at}`));
}

describe("quotas while no control replica answers", () => {
  test("serve what fits the share of the entries that reach each other", () => {
    const entries = makeEntries(8);
    let asked = 0;
    let served = 0;
    for (let now = 0; now < 20_000; now += SHARE_INTERVAL) {
      share(entries, { now, receives: () => true });
      // All callers come to two of the entries, within 8 of 12 shares.
      for (const { quota } of entries.slice(0, 2)) {
        asked += 1;
        served += quota.charge(workspace, { amount: 60, now }).ok ? 1 : 0;
      }
    }
    expect(served / asked).toBeGreaterThan(0.95);
  });

  test("stay bounded over two halves that don't reach each other", () => {
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

  test("fall back to an even share when the others fall silent", () => {
    const reported = new IsolatedQuota();
    const updates = { entry: "e1", boot: "1", spent: { inn: 5 }, isOpen: true };
    reported.receive({ ...updates, spent: { inn: 0 } }, 0);
    reported.receive(updates, 0);
    expect(reported.isOpen("e1", 100)).toBe(true);
    expect(reported.isOpen("e1", 5000)).toBe(false);
    reported.receive({ ...updates, isOpen: false }, 100);
    expect(reported.isOpen("e1", 100)).toBe(false);
    expect(reported.learnt(4, 100)).toMatchObject({
      share: 0.5,
      entries: 2,
      spent: { inn: 5 },
    });
    expect(reported.learnt(4, 5100)).toMatchObject({ share: 0.25, entries: 1 });
  });
});

/** Callers ask for 4.5 times the rate at entries of both halves. */
function expectBounded(steps: [number, number][]): void {
  const entries = makeEntries(12);
  const half = (at: number) => at < 6;
  let now = 0;
  let reportedAt = -SHARE_INTERVAL;
  let granted = 0;
  for (const [index, amount] of steps) {
    now += 10;
    if (now - reportedAt >= SHARE_INTERVAL) {
      reportedAt = now;
      share(entries, { now, receives: (from, to) => half(from) === half(to) });
    }
    const { ok } = entries[index]!.quota.charge(workspace, { amount, now });
    granted += ok ? amount : 0;
  }
  // Each half starts with a whole bucket; the rate is handed out once.
  const bound = 2 * workspace.burst + workspace.rate * now / 1000 * 1.2;
  expect(granted).toBeLessThanOrEqual(bound);
}
