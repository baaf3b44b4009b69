import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import * as fc from "fast-check";
import { loadSettings } from "./load_settings.ts";

const folder = mkdtempSync(join(tmpdir(), "heroncleat-settings-"));
const GOOD = `[daemon]
name = entry-1
roles = entry
zone = zone-a
peer_address = 127.0.0.1:1
[entry]
caller_address = 127.0.0.1:2
seeds = 127.0.0.1:1
control = 127.0.0.1:3
[security]
shared_secret_file = secret
`;

function load(text: string) {
  const path = join(folder, "settings.ini");
  writeFileSync(path, text);
  return loadSettings(path);
}

describe("a settings file", () => {
  test("takes defaults and numbers from the schema", () => {
    const loaded = load(`${GOOD}[policy]\nretry_budget = 0.5\n`);
    expect(loaded.isOk && loaded.value.policy).toMatchObject({
      retry_budget: 0.5,
      weighting: "cost",
    });
    expect(loaded.isOk && loaded.value.entry?.probe_interval).toBe(400);
  });

  test.each([
    ["an unknown key", "zone = zone-a", "zne = zone-a", "daemon.zne"],
    ["a missing key", "zone = zone-a\n", "", "daemon.zone"],
    ["a bad number", "[entry]", "[entry]\nprobe_interval = soon", "probe"],
    ["a bad address", "127.0.0.1:2", "nowhere", "entry.caller_address"],
    ["an unknown role", "roles = entry", "roles = judge", "daemon.roles"],
    ["a missing section", "roles = entry", "roles = control", "[control]"],
  ])("names the key and the remedy of %s", (_, from, to, expected) => {
    const loaded = load(GOOD.replace(from, to));
    expect(loaded.isErr && loaded.error.message).toContain(expected);
    expect(loaded.isErr && loaded.error.message).toContain("Remedy:");
    expect(loaded.isErr && loaded.error.message).toContain("settings.ini");
  });

  test("never throws, whatever the file contains", () => {
    const lines = fc.array(fc.oneof(
      fc.constantFrom(...GOOD.split("\n")),
      fc.string(),
      fc.tuple(fc.string(), fc.string()).map(([k, v]) => `${k} = ${v}`),
    ));
    let refused = 0;
    fc.assert(
      fc.property(lines, (chosen) => {
        const loaded = load(chosen.join("\n"));
        refused += loaded.isErr ? 1 : 0;
      }),
      { numRuns: 500, seed: 4 },
    );
    expect(refused).toBeGreaterThan(400);
  });
});
