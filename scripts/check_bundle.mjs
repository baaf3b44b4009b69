/**
 * Starts the bundle as an entry and as a control replica on loopback, and
 * checks that both listen and that V8 accepts their code caches. A dependency
 * that is bundled in an unsuitable module format fails only at startup.
 */
import { spawn } from "node:child_process";
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createBundleSettings } from "./create_bundle_settings.mjs";

const HOST = "127.0.5.1";
const STARTUP_TIMEOUT_MS = 15_000;
const READY_MESSAGES = {
  entry: "Listens for callers",
  control: "Serves operators and upstreams",
};
const folder = mkdtempSync(join(tmpdir(), "heroncleat-bundle-"));
const settingsFile = join(folder, "settings.json");
const settings = createBundleSettings(HOST, join(folder, "data"));
writeFileSync(settingsFile, JSON.stringify(settings));

try {
  for (const [role, readyMessage] of Object.entries(READY_MESSAGES)) {
    await startRole(role, readyMessage);
  }
  console.log("The bundle starts in both roles");
} catch (error) {
  console.error(error.message);
  process.exitCode = 1;
} finally {
  rmSync(folder, { recursive: true, force: true });
}

/** Resolves once the process has logged that it listens, and has exited. */
function startRole(role, readyMessage) {
  const command = /run = "node (.*) entry"/.exec(
    readFileSync("deploy/system.toml", "utf8"),
  )[1];
  const child = spawn(process.execPath, [...command.split(" "), role], {
    env: { ...process.env, HERONCLEAT_CONFIG: settingsFile },
  });
  let output = "";
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => child.kill("SIGKILL"), STARTUP_TIMEOUT_MS);
    const onOutput = (chunk) => {
      output += chunk;
      if (output.includes(readyMessage)) {
        child.kill("SIGKILL");
      }
    };
    child.stdout.on("data", onOutput);
    child.stderr.on("data", onOutput);
    child.once("exit", () => {
      clearTimeout(timer);
      if (!existsSync(`target/heroncleat_daemon.cjs.${role}.cache`)) {
        reject(new Error(`The role ${role} has no code cache.`));
      } else if (output.includes("code cache")) {
        reject(new Error(`V8 rejects the code cache of ${role}:\n${output}`));
      } else if (output.includes(readyMessage)) {
        resolve();
      } else {
        reject(new Error(`The bundle doesn't start as ${role}:\n${output}`));
      }
    });
  });
}
