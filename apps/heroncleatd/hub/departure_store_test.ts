import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { UpstreamRecord } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import { DepartureStore } from "./departure_store.ts";

const folder = mkdtempSync(join(tmpdir(), "heroncleat-leaves-"));
const warnings: string[] = [];
const log = {
  warn: (message: string) => warnings.push(message),
} as never as Log;

afterAll(() => rmSync(folder, { recursive: true }));

function recordOf(id: string, state: UpstreamRecord["state"]): UpstreamRecord {
  return {
    id,
    name: id,
    born: undefined,
    service: "desk",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 4,
    sequence: 3,
    state,
    isSpot: false,
    leavesIn: undefined,
  };
}

function openStore(
  options: { folder?: string; expired?: ReadonlySet<string> } = {},
): DepartureStore {
  return new DepartureStore({
    folder: options.folder ?? folder,
    log,
    isExpired: (id) => options.expired?.has(id) ?? false,
  });
}

test("restores departures after a restart, with the latest state of each", async () => {
  const store = openStore();
  expect(await store.read()).toEqual([]);
  await Promise.all([
    store.persist(recordOf("u1", "draining")),
    store.persist(recordOf("u2", "gone")),
    store.persist(recordOf("u1", "gone")),
  ]);
  const states = (await openStore().read()).map(({ id, state }) => [id, state]);
  expect(states).toEqual([["u1", "gone"], ["u2", "gone"]]);
  expect(warnings).toEqual([]);
});

test("a repeated departure waits for the write in flight", async () => {
  const store = openStore({ folder: join(folder, "missing") });
  const record = recordOf("u4", "gone");
  const both = await Promise.allSettled([
    store.persist(record),
    store.persist(record),
  ]);
  expect(both.map(({ status }) => status)).toEqual(["rejected", "rejected"]);
});

test("a late draining report doesn't replace the gone state", async () => {
  const store = openStore();
  await store.persist(recordOf("u5", "gone"));
  await store.persist(recordOf("u5", "draining"));
  const stored = (await openStore().read()).find(({ id }) => id === "u5");
  expect(stored?.state).toBe("gone");
});

test("keeps departures from before a restart beside later ones", async () => {
  await openStore().persist(recordOf("u6", "gone"));
  const started = openStore();
  await started.read();
  await started.persist(recordOf("u7", "gone"));
  const ids = (await openStore().read()).map(({ id }) => id);
  expect(ids).toEqual(expect.arrayContaining(["u6", "u7"]));
});

test("the next write drops departures of expired instances", async () => {
  const expired = new Set<string>();
  const store = openStore({ expired });
  await store.persist(recordOf("u1", "gone"));
  expired.add("u1");
  await store.persist(recordOf("u3", "gone"));
  expect((await openStore().read()).map(({ id }) => id)).toEqual(["u3"]);
});

test("a failed write rejects every call that waits for it", async () => {
  const store = openStore({ folder: join(folder, "missing") });
  await expect(store.persist(recordOf("u1", "gone"))).rejects.toThrow("ENOENT");
  await expect(store.persist(recordOf("u1", "gone"))).rejects.toThrow("ENOENT");
});

test("logs a damaged file once and starts with none", async () => {
  writeFileSync(join(folder, "leaves.json"), '{"version":1,"le');
  expect(await openStore().read()).toEqual([]);
  expect(warnings).toHaveLength(1);
});
