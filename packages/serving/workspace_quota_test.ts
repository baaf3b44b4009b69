import fc from "fast-check";
import { WorkspaceQuota } from "./mod.ts";
import { simulatedWorkspace as workspace } from "./simulated_workspace.ts";

const settings = { isFresh: true, window: 8000, overshoot: 0.1, tolerance: 0 };

describe("what other entries charged", () => {
  const updates = { share: 1, entries: 4 };
  const strict = { ...settings, overshoot: 0 };
  const spend = (quota: WorkspaceQuota, now: number) => {
    let served = 0;
    while (quota.charge(workspace, { amount: 10, now }).ok) {
      served += 10;
    }
    return served;
  };

  test("is all counted when the source of charges changes", () => {
    const quota = new WorkspaceQuota(strict);
    quota.charge(workspace, { amount: 10, now: 0 });
    quota.learnOthers("a", { ...updates, spent: { inn: 0 }, now: 0 });
    quota.learnBeside("b", { inn: 0 }, 0);
    // The first source is lost; the others go on and b reports of it later.
    quota.learnOthers("a", { ...updates, spent: { inn: 100 }, now: 100 });
    quota.learnOthers("b", { ...updates, spent: { inn: 5000 }, now: 3000 });
    expect(spend(quota, 3000)).toBe(0);
    // What a passes on its return, b had reported before.
    quota.learnOthers("a", { ...updates, spent: { inn: 5000 }, now: 7200 });
    expect(spend(quota, 8000)).toBeGreaterThan(0);
  });

  test("counts from the first word of a source that starts anew", () => {
    const quota = new WorkspaceQuota(strict);
    quota.learnOthers("a", { ...updates, spent: { inn: 7000 }, now: 0 });
    // All replicas restart; the new one has known of no charge at first.
    quota.learnOthers("b", { ...updates, spent: {}, now: 9000 });
    quota.learnOthers("b", { ...updates, spent: { inn: 6000 }, now: 12_000 });
    expect(spend(quota, 12_000)).toBe(0);
  });

  test("is not counted twice by a source that starts anew", () => {
    const quota = new WorkspaceQuota({ ...settings, isFresh: false });
    quota.learnOthers("a", { ...updates, spent: { inn: 900_000 }, now: 0 });
    expect(spend(quota, 0)).toBeGreaterThan(0);
    quota.learnOthers("b", { ...updates, spent: { inn: 40 }, now: 5000 });
    quota.learnOthers("b", { ...updates, spent: { inn: 50 }, now: 5100 });
    expect(spend(quota, 5100)).toBeGreaterThan(0);
  });
});

describe("the quota of a workspace", () => {
  test("covers its burst, then its rate, and says when to come back", () => {
    const quota = new WorkspaceQuota(settings);
    expect(quota.charge(workspace, { amount: 1000, now: 0 }).ok).toBe(true);
    const refused = quota.charge(workspace, { amount: 500, now: 0 });
    expect(refused).toMatchObject({ ok: false, retryAfter: 500 });
    expect(quota.charge(workspace, { amount: 500, now: 500 }).ok).toBe(true);
  });

  test("is bounded by the window though many entries restart at once", () => {
    const entries = [0, 1, 2, 3].map(() =>
      new WorkspaceQuota({ ...settings, tolerance: 850, isFresh: false })
    );
    sendAll(entries, 0);
    // Before the restart a whole window's quota was spent evenly.
    let granted = 0;
    let most = 0;
    const spentBefore = (now: number) => 9000 * Math.max(0, 1 - now / 8000);
    for (let now = 0; now < 8000; now += 10) {
      if (now % 300 === 0) {
        sendAll(entries, now);
      }
      for (const quota of entries) {
        granted += quota.charge(workspace, { amount: 10, now }).ok ? 10 : 0;
      }
      most = Math.max(most, granted + spentBefore(now));
    }
    expect(most).toBeLessThanOrEqual(9000 * 1.1 + 850);
  });

  test("serves a request larger than the burst once it is full", () => {
    const quota = new WorkspaceQuota(settings);
    expect(quota.charge(workspace, { amount: 5000, now: 0 }).ok).toBe(true);
    // More than the part of the tolerated excess that is spent on purpose.
    expect(quota.charge(workspace, { amount: 500, now: 3000 }).ok).toBe(false);
  });

  test("takes off what other entries charged since the last exchange", () => {
    const quota = new WorkspaceQuota(settings);
    quota.charge(workspace, { amount: 1, now: 0 });
    quota.learnOthers("a", {
      spent: { inn: 500 },
      share: 1,
      entries: 4,
      now: 0,
    });
    expect(quota.charge(workspace, { amount: 400, now: 0 }).ok).toBe(true);
    quota.learnOthers("a", {
      spent: { inn: 1500 },
      share: 1,
      entries: 4,
      now: 0,
    });
    expect(quota.charge(workspace, { amount: 400, now: 0 }).ok).toBe(false);
  });

  test("gives back what a request that didn't run was charged", () => {
    const quota = new WorkspaceQuota(settings);
    const charged = quota.charge(workspace, { amount: 1000, now: 0 });
    if (!charged.ok) {
      throw new Error("the full bucket refused");
    }
    quota.refund(charged.charge, 0);
    expect(quota.charge(workspace, { amount: 1000, now: 0 }).ok).toBe(true);
    expect(quota.spent()).toEqual({ inn: 1000 });
  });

  test("serves at once after a restart, but not a whole burst", () => {
    const quota = new WorkspaceQuota({ ...settings, isFresh: false });
    expect(quota.charge(workspace, { amount: 500, now: 0 }).ok).toBe(true);
    expect(quota.charge(workspace, { amount: 500, now: 0 }).ok).toBe(false);
  });

  test("hands out an even share while no control replica answers", () => {
    const quota = new WorkspaceQuota(settings);
    quota.charge(workspace, { amount: 1000, now: 0 });
    quota.isolate(1 / 10, 0);
    expect(quota.charge(workspace, { amount: 100, now: 500 }).ok).toBe(false);
    expect(quota.charge(workspace, { amount: 100, now: 1000 }).ok).toBe(true);
  });

  // Callers ask for 4 times the rate, as a hot workspace does; entries receive
  // of each other every 300 ms; the tolerance is that of a large workspace.
  test("never exceeds the tolerated sum of a window, over all entries", () => {
    fc.assert(
      fc.property(
        fc.array(
          fc.tuple(fc.nat(3), fc.nat(220), fc.integer({ min: 1, max: 90 })),
          {
            minLength: 600,
            maxLength: 1000,
          },
        ),
        (steps) => expectBounded(steps),
      ),
      { numRuns: 60, endOnFailure: true },
    );
  });
});

/** Four entries that learn of each other every 300 ms. */
function expectBounded(steps: [number, number, number][]): void {
  const { window } = settings;
  const tolerance = 850;
  const entries = [0, 1, 2, 3].map(() =>
    new WorkspaceQuota({ ...settings, tolerance })
  );
  const granted: { at: number; amount: number }[] = [];
  let now = 0;
  let reportedAt = 0;
  for (const [index, pause, amount] of steps) {
    now += pause / 10;
    if (now - reportedAt >= 300) {
      reportedAt = now;
      sendAll(entries, now);
    }
    if (entries[index]!.charge(workspace, { amount, now }).ok) {
      granted.push({ at: now, amount });
    }
  }
  const bound = (workspace.rate * window / 1000 + workspace.burst) * 1.1 +
    tolerance;
  let total = 0;
  let most = 0;
  let first = 0;
  for (const { at, amount } of granted) {
    total += amount;
    while (granted[first]!.at <= at - window) {
      total -= granted[first]!.amount;
      first += 1;
    }
    most = Math.max(most, total);
  }
  expect(most).toBeLessThanOrEqual(bound);
}

function sendAll(entries: readonly WorkspaceQuota[], now: number): void {
  const spent = entries.map((entry) => entry.spent());
  entries.forEach((entry, index) => {
    const others: Record<string, number> = {};
    spent.forEach((totals, at) => {
      for (const [name, total] of at === index ? [] : Object.entries(totals)) {
        others[name] = (others[name] ?? 0) + total;
      }
    });
    entry.learnOthers("hub", { spent: others, share: 1, entries: 4, now });
  });
}
