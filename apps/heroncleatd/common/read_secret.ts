import { readFileSync } from "node:fs";
import { createFault, type Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";

const MIN_SECRET_LENGTH = 16;

/** Reads the secret that the system's own processes and upstreams share. */
export function readSecret(path: string): Result<string, Fault> {
  let secret: string;
  try {
    secret = readFileSync(path, "utf8").trim();
  } catch (error) {
    return Result.err(createFault(
      "settings",
      `security.shared_secret_file: ${path} can't be read ` +
        `(${(error as Error).message}). Remedy: create the file with mode 600.`,
    ));
  }
  if (secret.length < MIN_SECRET_LENGTH) {
    return Result.err(createFault(
      "settings",
      `security.shared_secret_file: ${path} holds ${secret.length} ` +
        `characters. Remedy: use at least ${MIN_SECRET_LENGTH} random ones.`,
    ));
  }
  return Result.ok(secret);
}
