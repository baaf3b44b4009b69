import fc from "fast-check";
import { WorkspaceQuota } from "./mod.ts";
import { simulatedWorkspace as workspace } from "./simulated_workspace.ts";

const settings = { isFresh: true, window: 8000, overshoot: 0.1, tolerance: 0 };

describe("charges of other entries", () => {
  const exchange = { share: 1, entries: 4 };
  const strict = { ...settings, overshoot: 0 };
  const spendAll = (quota: WorkspaceQuota, now: number) => {
    let served = 0;
    while (quota.charge(workspace, { amount: 10, now }).ok) {
      served += 10;
    }
    return served;
  };

  test("are all counted when the source of charges changes", () => {
    const quota = new WorkspaceQuota(strict);
    quota.charge(workspace, { amount: 10, now: 0 });
    quota.applyCharges("a", { ...exchange, spent: { inn: 0 }, now: 0 });
    quota.applySecondaryCharges("b", { inn: 0 }, 0);
    // Source a is lost; the other entries go on, and b reports their charges.
    quota.applyCharges("a", { ...exchange, spent: { inn: 100 }, now: 100 });
    quota.applyCharges("b", { ...exchange, spent: { inn: 5000 }, now: 3000 });
    expect(spendAll(quota, 3000)).toBe(0);
    // Source a returns with charges that b has already reported.
    quota.applyCharges("a", { ...exchange, spent: { inn: 5000 }, now: 7200 });
    expect(spendAll(quota, 8000)).toBeGreaterThan(0);
  });

  test("are counted from the first report of a restarted source", () => {
    const quota = new WorkspaceQuota(strict);
    quota.applyCharges("a", { ...exchange, spent: { inn: 7000 }, now: 0 });
    // All replicas restart; the new one has no record of charges at first.
    quota.applyCharges("b", { ...exchange, spent: {}, now: 9000 });
    quota.applyCharges("b", { ...exchange, spent: { inn: 6000 }, now: 12_000 });
    expect(spendAll(quota, 12_000)).toBe(0);
  });

  test("are not counted twice after a restart of the source", () => {
    const quota = new WorkspaceQuota({ ...settings, isFresh: false });
    quota.applyCharges("a", { ...exchange, spent: { inn: 900_000 }, now: 0 });
    expect(spendAll(quota, 0)).toBeGreaterThan(0);
    quota.applyCharges("b", { ...exchange, spent: { inn: 40 }, now: 5000 });
    quota.applyCharges("b", { ...exchange, spent: { inn: 50 }, now: 5100 });
    expect(spendAll(quota, 5100)).toBeGreaterThan(0);
  });
});

describe("the quota of a workspace", () => {
  test("covers its burst, then its rate, and returns when to retry", () => {
    const quota = new WorkspaceQuota(settings);
    expect(quota.charge(workspace, { amount: 1000, now: 0 }).ok).toBe(true);
    const refused = quota.charge(workspace, { amount: 500, now: 0 });
    expect(refused).toMatchObject({ ok: false, retryAfter: 500 });
    expect(quota.charge(workspace, { amount: 500, now: 500 }).ok).toBe(true);
  });

  test("is bounded by the window when many entries restart at once", () => {
    const entries = [0, 1, 2, 3].map(() =>
      new WorkspaceQuota({ ...settings, tolerance: 850, isFresh: false })
    );
    exchangeCharges(entries, 0);
    // Before the restart, a full window's quota was spent at a constant rate.
    let granted = 0;
    let maxWindowSum = 0;
    const spentBefore = (now: number) => 9000 * Math.max(0, 1 - now / 8000);
    for (let now = 0; now < 8000; now += 10) {
      if (now % 300 === 0) {
        exchangeCharges(entries, now);
      }
      for (const quota of entries) {
        granted += quota.charge(workspace, { amount: 10, now }).ok ? 10 : 0;
      }
      maxWindowSum = Math.max(maxWindowSum, granted + spentBefore(now));
    }
    expect(maxWindowSum).toBeLessThanOrEqual(9000 * 1.1 + 850);
  });

  test("serves a request larger than the burst with a full bucket", () => {
    const quota = new WorkspaceQuota(settings);
    expect(quota.charge(workspace, { amount: 5000, now: 0 }).ok).toBe(true);
    // Exceeds the usable share of the tolerated excess.
    expect(quota.charge(workspace, { amount: 500, now: 3000 }).ok).toBe(false);
  });

  test("deducts the charges of other entries since the last exchange", () => {
    const quota = new WorkspaceQuota(settings);
    quota.charge(workspace, { amount: 1, now: 0 });
    quota.applyCharges("a", {
      spent: { inn: 500 },
      share: 1,
      entries: 4,
      now: 0,
    });
    expect(quota.charge(workspace, { amount: 400, now: 0 }).ok).toBe(true);
    quota.applyCharges("a", {
      spent: { inn: 1500 },
      share: 1,
      entries: 4,
      now: 0,
    });
    expect(quota.charge(workspace, { amount: 400, now: 0 }).ok).toBe(false);
  });

  test("is refunded for a request that didn't run", () => {
    const quota = new WorkspaceQuota(settings);
    const charged = quota.charge(workspace, { amount: 1000, now: 0 });
    if (!charged.ok) {
      throw new Error("the charge to a full bucket was refused");
    }
    quota.refund(charged.charge, 0);
    expect(quota.charge(workspace, { amount: 1000, now: 0 }).ok).toBe(true);
    expect(quota.spent()).toEqual({ inn: 1000 });
  });

  test("serves part of the burst immediately after a restart", () => {
    const quota = new WorkspaceQuota({ ...settings, isFresh: false });
    expect(quota.charge(workspace, { amount: 500, now: 0 }).ok).toBe(true);
    expect(quota.charge(workspace, { amount: 500, now: 0 }).ok).toBe(false);
  });

  test("is limited to an even share while no control replica is reachable", () => {
    const quota = new WorkspaceQuota(settings);
    quota.charge(workspace, { amount: 1000, now: 0 });
    quota.isolate(1 / 10, 0);
    expect(quota.charge(workspace, { amount: 100, now: 500 }).ok).toBe(false);
    expect(quota.charge(workspace, { amount: 100, now: 1000 }).ok).toBe(true);
  });

  // Guards against entries that together exceed the tolerated sum of a window
  // while callers request 4 times the rate.
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

/** Simulates four entries that exchange their charges every 300 ms. */
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
      exchangeCharges(entries, now);
    }
    if (entries[index]!.charge(workspace, { amount, now }).ok) {
      granted.push({ at: now, amount });
    }
  }
  const bound = (workspace.rate * window / 1000 + workspace.burst) * 1.1 +
    tolerance;
  let total = 0;
  let maxWindowSum = 0;
  let first = 0;
  for (const { at, amount } of granted) {
    total += amount;
    while (granted[first]!.at <= at - window) {
      total -= granted[first]!.amount;
      first += 1;
    }
    maxWindowSum = Math.max(maxWindowSum, total);
  }
  expect(maxWindowSum).toBeLessThanOrEqual(bound);
}

function exchangeCharges(
  entries: readonly WorkspaceQuota[],
  now: number,
): void {
  const spent = entries.map((entry) => entry.spent());
  entries.forEach((entry, index) => {
    const others: Record<string, number> = {};
    spent.forEach((totals, at) => {
      for (const [name, total] of at === index ? [] : Object.entries(totals)) {
        others[name] = (others[name] ?? 0) + total;
      }
    });
    entry.applyCharges("hub", { spent: others, share: 1, entries: 4, now });
  });
}
