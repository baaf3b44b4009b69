/**
 * Starts the bundle as an entry and as a control replica on loopback, and
 * checks that both listen. A dependency that is bundled in an unsuitable module
 * format fails only at startup.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const HOST = "127.0.5.1";
const STARTUP_TIMEOUT_MS = 15_000;
const READY_MESSAGES = {
  entry: "Listens for callers",
  control: "Serves operators and upstreams",
};
const folder = mkdtempSync(join(tmpdir(), "heroncleat-bundle-"));
const settingsFile = join(folder, "settings.json");
writeFileSync(settingsFile, JSON.stringify(createSettings()));

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
  const child = spawn(process.execPath, ["target/heroncleat.mjs", role], {
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
      if (output.includes(readyMessage)) {
        resolve();
      } else {
        reject(new Error(`The bundle doesn't start as ${role}:\n${output}`));
      }
    });
  });
}

function createSettings() {
  return {
    nodeName: "edge-a-1",
    ip: HOST,
    zone: "a",
    region: "r",
    listen: {
      frontend: `${HOST}:8221`,
      readiness: `${HOST}:8224`,
      controlPlane: `${HOST}:8229`,
      registryAddress: `${HOST}:8220`,
    },
    internalPortRange: [7600, 7615],
    seedNodes: [`${HOST}:8229`],
    bootstrap: true,
    dataDir: join(folder, "data"),
    bounds: {},
  };
}
