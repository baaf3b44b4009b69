import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Hub, type UpstreamRecord } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import { DepartureStore } from "./departure_store.ts";
import { UsageStore } from "./usage_store.ts";

const folder = mkdtempSync(join(tmpdir(), "heroncleat-restored-"));
const lines: string[] = [];
const log = { warn: (line: string) => void lines.push(line) } as never as Log;
const NOW = 1000;

const sound: UpstreamRecord = {
  id: "u1@5",
  name: "u1",
  born: 5,
  service: "desk",
  address: "10.0.0.1:80",
  zone: "a",
  slots: 4,
  sequence: 3,
  state: "gone",
  isSpot: false,
  leavesIn: undefined,
};

afterAll(() => rmSync(folder, { recursive: true }));
beforeEach(() => void (lines.length = 0));

// Guards against a stored record that costs the others, or the process.
test.each([
  null,
  7,
  {},
  { ...sound, id: null },
  { ...sound, id: "u2", name: 5 },
  { ...sound, id: "u2", service: undefined },
  { ...sound, id: "u2", state: "constructor" },
  { ...sound, id: "u2", sequence: "many" },
  { ...sound, id: "u2", born: "yesterday" },
  { ...sound, id: "x".repeat(60_000) },
])("the departure %j is left out, the others are restored", async (record) => {
  const text = JSON.stringify({ version: 1, leaves: [record, sound] });
  writeFileSync(join(folder, "leaves.json"), text);
  const store = new DepartureStore({ folder, log, isExpired: () => false });
  const restored = await store.read();
  expect(restored.map(({ id }) => id)).toEqual(["u1@5"]);
  expect(lines).toHaveLength(1);
  const hub = new Hub("feed");
  for (const each of restored) {
    hub.mergeUpstream(each, NOW);
  }
  await store.persist({ ...sound, id: "u3@5", name: "u3" });
  expect((await store.read()).map(({ id }) => id)).toEqual(["u1@5", "u3@5"]);
});

// Guards against windows that aren't numbers, with which none is the newest.
test.each([
  { x: { inn: 5 } },
  { NaN: { inn: 5 } },
  { 1e308: { inn: 5 } },
  { "-1": { inn: 5 } },
  { 0.5: { inn: 5 } },
  { 7: null },
  { 7: { inn: "many", bar: null, desk: -4 } },
  null,
])("the usage %j costs no other its counts", async (windows) => {
  const usage = { a: windows, b: { 7: { inn: 40 } } };
  writeFileSync(
    join(folder, "usage.json"),
    JSON.stringify({ version: 1, usage }),
  );
  const hub = new Hub("feed");
  await new UsageStore({ hub, folder, log }).read();
  expect(hub.usageInWindow(7)).toEqual({ inn: 40 });
  expect(hub.recentUsage()).toEqual({ b: { 7: { inn: 40 } } });
  hub.expire(NOW);
  expect(hub.usageInWindow(7)).toEqual({ inn: 40 });
});
