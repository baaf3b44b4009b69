import { readFileSync } from "node:fs";
import { createFault, type Fault } from "@heroncleat/base";
import { parse } from "ini";
import { Result } from "true-myth/result";
import { KeyRing } from "./key_ring.ts";

const LEAST_CHARACTERS = 16;

/** Reads an INI file of `holder = key` lines. */
export function readKeyRing(
  path: string | undefined,
  setting: string,
): Result<KeyRing, Fault> {
  if (path === undefined) {
    return refuse(setting, "the setting is missing", "name an INI file");
  }
  let keys: Record<string, unknown>;
  try {
    keys = parse(readFileSync(path, "utf8"));
  } catch (error) {
    return refuse(setting, (error as Error).message, "create the file");
  }
  const checked: Record<string, string> = {};
  for (const [holder, key] of Object.entries(keys)) {
    if (typeof key !== "string" || key.length < LEAST_CHARACTERS) {
      return refuse(
        setting,
        `the key of ${holder} in ${path} is too short`,
        `use at least ${LEAST_CHARACTERS} random characters`,
      );
    }
    checked[holder] = key;
  }
  return Result.ok(new KeyRing(checked));
}

function refuse(
  setting: string,
  cause: string,
  remedy: string,
): Result<KeyRing, Fault> {
  return Result.err(
    createFault("settings", `${setting}: ${cause}. Remedy: ${remedy}.`),
  );
}
