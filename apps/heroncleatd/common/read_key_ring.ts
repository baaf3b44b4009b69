import { readFileSync } from "node:fs";
import { createFault, type Fault } from "@heroncleat/base";
import { parse } from "ini";
import { Result } from "true-myth/result";
import { KeyRing } from "./key_ring.ts";

const MIN_KEY_LENGTH = 16;

/** Reads an INI file of `holder = key` lines. */
export function readKeyRing(
  path: string | undefined,
  setting: string,
): Result<KeyRing, Fault> {
  if (path === undefined) {
    return createSettingsError(
      setting,
      "the setting is missing",
      "name an INI file",
    );
  }
  let keys: Record<string, unknown>;
  try {
    keys = parse(readFileSync(path, "utf8"));
  } catch (error) {
    return createSettingsError(
      setting,
      (error as Error).message,
      "create the file",
    );
  }
  const checked: Record<string, string> = {};
  for (const [holder, key] of Object.entries(keys)) {
    if (typeof key !== "string" || key.length < MIN_KEY_LENGTH) {
      return createSettingsError(
        setting,
        `the key of ${holder} in ${path} is too short`,
        `use at least ${MIN_KEY_LENGTH} random characters`,
      );
    }
    checked[holder] = key;
  }
  return Result.ok(new KeyRing(checked));
}

function createSettingsError(
  setting: string,
  cause: string,
  remedy: string,
): Result<KeyRing, Fault> {
  return Result.err(
    createFault("settings", `${setting}: ${cause}. Remedy: ${remedy}.`),
  );
}
