import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Hub } from "@heroncleat/serving";
import type { Log } from "../common/log.ts";
import { UsageStore } from "./usage_store.ts";

const folder = mkdtempSync(join(tmpdir(), "heroncleat-usage-"));
afterAll(() => rmSync(folder, { recursive: true }));

const warnings: string[] = [];
const log = {
  warn: (message: string) => warnings.push(message),
} as never as Log;

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

async function waitUntilStored(text: string): Promise<void> {
  for (let tries = 0; tries < 100; tries += 1) {
    await sleep(20);
    try {
      if (readFileSync(join(folder, "usage.json"), "utf8").includes(text)) {
        return;
      }
    } catch {
      // The file doesn't exist yet.
    }
  }
  throw new Error("the counts weren't written within 2 s");
}

describe("usage counts", () => {
  test("survive a restart of all processes", async () => {
    const hub = new Hub("f");
    const store = new UsageStore({ hub, folder, log });
    await store.read();
    store.start();
    hub.mergeUsage({ a: { 7: { inn: 40 } } });
    await waitUntilStored("40");
    hub.mergeUsage({ a: { 7: { inn: 41 } } });
    await waitUntilStored("41");
    store.stop();
    const later = new Hub("g");
    await new UsageStore({ hub: later, folder, log }).read();
    later.mergeUsage({ b: { 7: { inn: 2 } } });
    expect(later.usageInWindow(7)).toEqual({ inn: 43 });
    expect(warnings).toEqual([]);
  });

  test("start empty, with a warning, if the file is damaged", async () => {
    writeFileSync(join(folder, "usage.json"), '{"version":1,"us');
    const hub = new Hub("f");
    await new UsageStore({ hub, folder, log }).read();
    expect(hub.usageInWindow(7)).toEqual({});
    expect(warnings).toHaveLength(1);
  });

  test("continue if writes fail, with one warning", async () => {
    warnings.length = 0;
    const hub = new Hub("f");
    const missing = join(folder, "missing");
    const store = new UsageStore({ hub, folder: missing, log });
    store.start();
    for (const count of [1, 2, 3]) {
      hub.mergeUsage({ a: { 7: { inn: count } } });
      await sleep(150);
    }
    store.stop();
    expect(warnings).toHaveLength(1);
  });
});
