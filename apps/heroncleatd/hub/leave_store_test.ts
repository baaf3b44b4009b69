import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { UpstreamRecord } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import { LeaveStore } from "./leave_store.ts";

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

function open(
  options: { folder?: string; forgotten?: ReadonlySet<string> } = {},
): LeaveStore {
  return new LeaveStore({
    folder: options.folder ?? folder,
    log,
    isForgotten: (id) => options.forgotten?.has(id) ?? false,
  });
}

test("leaves are there after a start, the later state of each", async () => {
  const store = open();
  expect(await store.read()).toEqual([]);
  await Promise.all([
    store.keep(recordOf("u1", "draining")),
    store.keep(recordOf("u2", "gone")),
    store.keep(recordOf("u1", "gone")),
  ]);
  const states = (await open().read()).map(({ id, state }) => [id, state]);
  expect(states).toEqual([["u1", "gone"], ["u2", "gone"]]);
  expect(warnings).toEqual([]);
});

test("the same leave again waits for the write that is under way", async () => {
  const store = open({ folder: join(folder, "missing") });
  const record = recordOf("u4", "gone");
  const both = await Promise.allSettled([
    store.keep(record),
    store.keep(record),
  ]);
  expect(both.map(({ status }) => status)).toEqual(["rejected", "rejected"]);
});

test("late word that it drains doesn't take back that it is gone", async () => {
  const store = open();
  await store.keep(recordOf("u5", "gone"));
  await store.keep(recordOf("u5", "draining"));
  const kept = (await open().read()).find(({ id }) => id === "u5");
  expect(kept?.state).toBe("gone");
});

test("leaves of before a start stay on disk beside later ones", async () => {
  await open().keep(recordOf("u6", "gone"));
  const started = open();
  await started.read();
  await started.keep(recordOf("u7", "gone"));
  const ids = (await open().read()).map(({ id }) => id);
  expect(ids).toEqual(expect.arrayContaining(["u6", "u7"]));
});

test("leaves of forgotten starts go with the next one", async () => {
  const forgotten = new Set<string>();
  const store = open({ forgotten });
  await store.keep(recordOf("u1", "gone"));
  forgotten.add("u1");
  await store.keep(recordOf("u3", "gone"));
  expect((await open().read()).map(({ id }) => id)).toEqual(["u3"]);
});

test("a disk that takes nothing is said to whoever waits, each time", async () => {
  const store = open({ folder: join(folder, "missing") });
  await expect(store.keep(recordOf("u1", "gone"))).rejects.toThrow("ENOENT");
  await expect(store.keep(recordOf("u1", "gone"))).rejects.toThrow("ENOENT");
});

test("a damaged file is said once and counts as none", async () => {
  writeFileSync(join(folder, "leaves.json"), '{"version":1,"le');
  expect(await open().read()).toEqual([]);
  expect(warnings).toHaveLength(1);
});
