import type { Settings } from "./generated/types.ts";
import type { ValidationProblem } from "./validation_problem.ts";
import { checkSettings } from "./generated/settings_validator.ts";

/** One problem of a settings file. */
type SettingsProblem = {
  readonly key: string;
  readonly found: string;
  readonly remedy: string;
};

/** Either checked settings or everything that is wrong with them. */
type ParsedSettings =
  | { readonly settings: Settings }
  | { readonly problems: readonly SettingsProblem[] };

const OPTIONAL_SECTIONS = ["logs", "metrics", "policy"] as const;

/**
 * Converts the text values of an INI file to the types of the schema and
 * checks them. Missing values take the schema's defaults.
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
  return { problems: (checkSettings.errors ?? []).map(describeError) };
}

function describeError(error: ValidationProblem): SettingsProblem {
  const path = error.instancePath.split("/").filter((part) => part !== "");
  if (error.keyword === "required") {
    const key = [...path, String(error.params["missingProperty"])].join(".");
    return { key, found: "nothing", remedy: `add ${key} to the file` };
  }
  if (error.keyword === "additionalProperties") {
    const extra = String(error.params["additionalProperty"]);
    const key = [...path, extra].join(".");
    return {
      key,
      found: "an unknown key",
      remedy: "remove it or correct its spelling; docs/SETTINGS.md lists keys",
    };
  }
  const allowed = error.params["allowedValues"];
  const wanted = Array.isArray(allowed)
    ? `use one of ${allowed.join(", ")}`
    : `use a value that ${error.message ?? "fits docs/SETTINGS.md"}`;
  const meaning = error.parentSchema?.description;
  return {
    key: path.join("."),
    found: JSON.stringify(error.data) ?? "nothing",
    remedy: meaning === undefined ? wanted : `${wanted} (${meaning})`,
  };
}
