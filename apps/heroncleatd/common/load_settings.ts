import { readFileSync } from "node:fs";
import { createFault, type Fault, splitList } from "@heroncleat/base";
import { parseSettings, type Settings } from "@heroncleat/schema";
import { parse } from "ini";
import { Result } from "true-myth/result";

/** Reads and validates a settings file. */
export function loadSettings(path: string): Result<Settings, Fault> {
  let text: string;
  try {
    text = readFileSync(path, "utf8");
  } catch (error) {
    return createSettingsError([
      `${path}: the file can't be read (${(error as Error).message}). ` +
      "Remedy: pass the path of a readable INI file with --settings.",
    ]);
  }
  const parsed = parseSettings(toPlainObject(parse(text)));
  if ("problems" in parsed) {
    return createSettingsError(
      parsed.problems.map((problem) =>
        `${path}: ${problem.key || "the file"}: found ${problem.found}. ` +
        `Remedy: ${problem.remedy}.`
      ),
    );
  }
  const problems = findConflicts(parsed.settings, path);
  return problems.length > 0
    ? createSettingsError(problems)
    : Result.ok(parsed.settings);
}

function createSettingsError(
  problems: readonly string[],
): Result<Settings, Fault> {
  return Result.err(createFault("settings", problems.join("\n")));
}

/**
 * The INI parser returns objects without a prototype; the schema validator
 * expects plain objects.
 */
function toPlainObject(
  value: Record<string, unknown>,
): Record<string, unknown> {
  return JSON.parse(JSON.stringify(value)) as Record<string, unknown>;
}

function findConflicts(settings: Settings, path: string): string[] {
  const roles = splitList(settings.daemon.roles);
  const problems: string[] = [];
  if (roles.includes("entry") && settings.entry === undefined) {
    problems.push(
      `${path}: daemon.roles names entry, but there is no [entry] section. ` +
        "Remedy: add the section or remove the role.",
    );
  }
  if (roles.includes("control") && settings.control === undefined) {
    problems.push(
      `${path}: daemon.roles names control, but there is no [control] ` +
        "section. Remedy: add the section or remove the role.",
    );
  }
  const { control } = settings;
  if (
    control !== undefined &&
    control.unfenced_order_timeout * 2 >= control.election_timeout
  ) {
    problems.push(
      `${path}: control.unfenced_order_timeout: found ` +
        `${control.unfenced_order_timeout}. Remedy: use less than half of ` +
        `control.election_timeout, which is ${control.election_timeout}.`,
    );
  }
  return problems;
}
