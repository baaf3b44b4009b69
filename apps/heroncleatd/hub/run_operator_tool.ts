import { execFile } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

/**
 * Runs the operators' tool against the first two processes of a test group.
 *
 * @returns The tool's output, standard output before standard error.
 */
export function runOperatorTool(
  firstPort: number,
  args: readonly string[],
): Promise<string> {
  const secretFile = join(
    mkdtempSync(join(tmpdir(), "heroncleat-tool-")),
    "secret",
  );
  writeFileSync(secretFile, "s\n");
  const peers = [0, 1].map((index) => `127.0.0.1:${firstPort + index}`).join(
    ",",
  );
  const options = ["--peers", peers, "--secret-file", secretFile];
  const script = "apps/heroncleat/dist/main.js";
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [script, ...args, ...options],
      (_, stdout, stderr) => resolve(stdout + stderr),
    );
  });
}
