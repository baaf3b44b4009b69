import { ChargeRelay } from "./charge_relay.ts";
import { IsolatedQuota } from "./isolated_quota.ts";
import { LocalViews } from "./local_views.ts";
import { StreamOrigins } from "./stream_origins.ts";

const NAMED = 10_000;
const names = Array.from({ length: NAMED }, (_, index) => `n-${index}`);

// Guards against memory filled by names that anybody may send by datagram.
test("contradictory origins of streams are kept up to a limit", () => {
  const origins = new StreamOrigins({ maxRecords: 100 });
  for (const name of names) {
    for (const version of ["v1", "v2"]) {
      origins.record(name, {
        origin: { service: "desk", version },
        entry: "entry-1",
        begunAt: 0,
        expiresAt: 100_000_000,
      });
    }
  }
  expect(origins.contradictoryCount).toBe(100);
  expect(origins.get(names.at(-1)!, 1)).toBeUndefined();
});

test("charges of entries without a replica's reply are kept up to a limit", () => {
  const relay = new ChargeRelay("self");
  for (const [at, name] of names.entries()) {
    relay.record(name, { boot: "1", spent: {} }, at);
  }
  expect(relay.size).toBe(2000);
});

test("entries that report directly are kept up to a limit, the latest", () => {
  const quota = new IsolatedQuota();
  for (const [now, entry] of names.entries()) {
    const isOpen = now % 2 === 1;
    quota.receive({ entry, boot: "1", spent: {}, isOpen }, now);
  }
  expect(quota.size).toBe(2000);
  expect(quota.isOpen(names[NAMED - 1]!, NAMED)).toBe(true);
  expect(quota.isOpen(names[NAMED - 2]!, NAMED)).toBe(false);
});

test("crashes of upstreams without a view are kept up to a limit", () => {
  const views = new LocalViews();
  for (const name of [...names, ...names.map((each) => `other-${each}`)]) {
    views.recordCrash(name, 5);
  }
  expect(views.size).toBe(10_000);
  const last = `other-${names.at(-1)}`;
  expect(views.crashedAt(last)).toBe(5);
  expect(views.of(last).crashedAt).toBe(5);
  expect(views.crashedAt(names[0]!)).toBe(-Infinity);
});
