/**
 * Runs each role of the bundle for a moment, so that it writes the code that V8
 * has compiled until then. Without the cache the daemon only starts later.
 */
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createBundleSettings } from "./create_bundle_settings.mjs";

/** Long enough to listen and to begin the first exchanges. */
const RUN_TIME_MS = 1000;
const TIMEOUT_MS = 15_000;
const HOST = "127.0.6.1";

/** V8 accepts a cache only with the flags with which it was written. */
function readNodeFlags(root) {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  return /run = "node (.*?) ?target\//.exec(text)[1].split(" ");
}

/** @param root Folder of the repository. */
export function writeCodeCache(root) {
  const folder = mkdtempSync(join(tmpdir(), "heroncleat-cache-"));
  const settingsFile = join(folder, "settings.json");
  const settings = createBundleSettings(HOST, join(folder, "data"));
  writeFileSync(settingsFile, JSON.stringify(settings));
  for (const role of ["control", "entry"]) {
    const { status, stderr } = spawnSync(process.execPath, [
      ...readNodeFlags(root),
      join(root, "target/heroncleat.cjs"),
      role,
    ], {
      env: {
        ...process.env,
        HERONCLEAT_CONFIG: settingsFile,
        HERONCLEAT_WRITE_CODE_CACHE_AFTER_MS: String(RUN_TIME_MS),
      },
      encoding: "utf8",
      timeout: TIMEOUT_MS,
    });
    if (status !== 0) {
      console.warn(`No code cache for the role ${role}: ${stderr}`);
    }
  }
  rmSync(folder, { recursive: true, force: true });
}
