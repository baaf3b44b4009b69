import { execFile } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * Runs the operators' tool against the first two processes of a test's group,
 * and returns what it prints.
 */
export function runTool(
  firstPort: number,
  words: readonly string[],
): Promise<string> {
  const secret = join(
    mkdtempSync(join(tmpdir(), "heroncleat-tool-")),
    "secret",
  );
  writeFileSync(secret, "s\n");
  const peers = [0, 1].map((at) => `127.0.0.1:${firstPort + at}`).join(",");
  const options = ["--peers", peers, "--secret-file", secret];
  const script = "apps/heroncleat/dist/main.js";
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [script, ...words, ...options],
      (_, stdout, stderr) => resolve(stdout + stderr),
    );
  });
}
