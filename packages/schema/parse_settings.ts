import type { Settings } from "./generated/types.ts";
import type { ValidationProblem } from "./validation_problem.ts";
import { checkSettings } from "./generated/settings_validator.ts";

type SettingsProblem = {
  readonly key: string;
  readonly found: string;
  readonly remedy: string;
};

/** Valid settings, or all problems that were found. */
type ParsedSettings =
  | { readonly settings: Settings }
  | { readonly problems: readonly SettingsProblem[] };

const OPTIONAL_SECTIONS = ["logs", "metrics", "policy"] as const;

/**
 * Converts the text values of a parsed INI file to the types of the schema and
 * validates them. Missing values get the defaults of the schema.
 *
 * @public
 */
export function parseSettings(
  sections: Record<string, unknown>,
): ParsedSettings {
  const candidate: Record<string, unknown> = structuredClone(sections);
  for (const section of OPTIONAL_SECTIONS) {
    candidate[section] ??= {};
  }
  if (checkSettings(candidate)) {
    return { settings: candidate };
  }
  return { problems: (checkSettings.errors ?? []).map(toSettingsProblem) };
}

function toSettingsProblem(error: ValidationProblem): SettingsProblem {
  const path = error.instancePath.split("/").filter((part) => part !== "");
  if (error.keyword === "required") {
    const key = [...path, String(error.params["missingProperty"])].join(".");
    return { key, found: "nothing", remedy: `add ${key} to the file` };
  }
  if (error.keyword === "additionalProperties") {
    const unknownKey = String(error.params["additionalProperty"]);
    const key = [...path, unknownKey].join(".");
    return {
      key,
      found: "an unknown key",
      remedy:
        "remove it or correct its spelling; docs/SETTINGS.md lists all keys",
    };
  }
  const allowedValues = error.params["allowedValues"];
  const requirement = Array.isArray(allowedValues)
    ? `use one of ${allowedValues.join(", ")}`
    : `the value ${error.message ?? "must conform to docs/SETTINGS.md"}`;
  const keyDescription = error.parentSchema?.description;
  return {
    key: path.join("."),
    found: JSON.stringify(error.data) ?? "nothing",
    remedy: keyDescription === undefined
      ? requirement
      : `${requirement} (${keyDescription})`,
  };
}
