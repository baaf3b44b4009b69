import type { Fault } from "@heroncleat/base";
import type { Edit, Selector, SelectorMatch } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { parsePairs } from "./parse_pairs.ts";
import { printConfigurationTable } from "./print_configuration_table.ts";
import { submitChange } from "./submit_change.ts";
import { usageFault } from "./usage_fault.ts";

const MATCH_KEYS = ["workspace", "model", "service", "method", "pathPrefix"];
const DEFAULT_ORDER = 100;
const USAGE = "selector-set NAME --groups A,B [--order N] [model=M ...]";

/** Commands that list and change selectors. */
export const selectorCommands = {
  list(context: CommandContext): Promise<CommandResult> {
    return printConfigurationTable(context, {
      headings: ["SELECTOR", "ORDER", "GROUPS", "MATCH", "IDEMPOTENT"],
      listRows: (view) =>
        Object.values(view.selectors)
          .sort((left, right) => left.order - right.order)
          .map((selector) => [
            selector.name,
            selector.order,
            selector.groups.join(","),
            selector.match,
            selector.idempotent,
          ]),
    });
  },

  set(context: CommandContext): Promise<CommandResult> {
    return submitChange(context, () => buildSelector(context));
  },

  remove(context: CommandContext): Promise<CommandResult> {
    const [name] = context.args;
    return submitChange(
      context,
      () =>
        name === undefined
          ? Result.err(
            usageFault(
              "The selector name is missing",
              "use selector-remove NAME",
            ),
          )
          : Result.ok([{ kind: "selector_removed", name }]),
    );
  },
};

function buildSelector(context: CommandContext): Result<Edit[], Fault> {
  const [name, ...pairs] = context.args;
  const { groups, order, idempotent } = context.options;
  if (name === undefined || groups === undefined) {
    return Result.err(
      usageFault("The selector name or --groups is missing", `use ${USAGE}`),
    );
  }
  const match = parsePairs(pairs);
  if (match.isErr) {
    return Result.err(match.error);
  }
  const unknownKey = Object.keys(match.value).find((key) =>
    !MATCH_KEYS.includes(key)
  );
  if (unknownKey !== undefined) {
    return Result.err(
      usageFault(
        `A selector can't match on ${unknownKey}`,
        `use ${MATCH_KEYS.join(", ")}`,
      ),
    );
  }
  const selector: Selector = {
    name,
    order: Number(order ?? DEFAULT_ORDER),
    match: match.value as SelectorMatch,
    groups: groups.split(","),
  };
  if (idempotent !== undefined) {
    selector.idempotent = idempotent === "true";
  }
  return Result.ok([{ kind: "selector_set", selector }]);
}
