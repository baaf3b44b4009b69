import { type Fault, ownValue } from "@heroncleat/base";
import type { ConfigurationView, Edit, Group } from "@heroncleat/schema";
import { Result } from "true-myth/result";
import type { CommandContext } from "./command_context.ts";
import type { CommandResult } from "./command_result.ts";
import { parsePairs } from "./parse_pairs.ts";
import { printConfigurationTable } from "./print_configuration_table.ts";
import { submitChange } from "./submit_change.ts";
import { usageFault } from "./usage_fault.ts";

const MAX_SHARE = 100;

/** Commands that list and change groups and migrate between them. */
export const groupCommands = {
  list(context: CommandContext): Promise<CommandResult> {
    return printConfigurationTable(context, {
      headings: ["GROUP", "STATE", "SHARE", "LABELS"],
      listRows: (view) =>
        Object.values(view.groups).map((group) => [
          group.name,
          group.state,
          group.share,
          group.labels,
        ]),
    });
  },

  /** `group-set NAME key=value ...` */
  set(context: CommandContext): Promise<CommandResult> {
    const [name, ...pairs] = context.args;
    return submitChange(context, (view) => {
      if (name === undefined) {
        return missingNameError("group-set NAME key=value ...");
      }
      const labels = parsePairs(pairs);
      if (labels.isErr) {
        return Result.err(labels.error);
      }
      const existing = ownValue(view.groups, name);
      const share = readShare(context, existing?.share ?? MAX_SHARE);
      if (share.isErr) {
        return Result.err(share.error);
      }
      const state = existing?.state ?? "serving";
      return setGroup({
        name,
        labels: labels.value,
        state,
        share: share.value,
      });
    });
  },

  remove(context: CommandContext): Promise<CommandResult> {
    const [name] = context.args;
    return submitChange(
      context,
      () =>
        name === undefined
          ? missingNameError("group-remove NAME")
          : Result.ok([{ kind: "group_removed", name }]),
    );
  },

  /** Stops new requests to a group. */
  drain(context: CommandContext): Promise<CommandResult> {
    return submitChange(
      context,
      (view) =>
        changeGroup(
          view,
          context,
          (group) => Result.ok({ ...group, state: "draining" }),
        ),
    );
  },

  /** Sends requests to a group, with a share as its weight. */
  fill(context: CommandContext): Promise<CommandResult> {
    return submitChange(
      context,
      (view) =>
        changeGroup(view, context, (group) => {
          const share = readShare(context, MAX_SHARE);
          if (share.isErr) {
            return Result.err(share.error);
          }
          const state = share.value === MAX_SHARE ? "serving" : "filling";
          return Result.ok({ ...group, state, share: share.value });
        }),
    );
  },
};

function changeGroup(
  view: ConfigurationView,
  context: CommandContext,
  change: (group: Group) => Result<Group, Fault>,
): Result<Edit[], Fault> {
  const [name] = context.args;
  if (name === undefined) {
    return missingNameError("drain NAME, or fill NAME --share N");
  }
  const group = ownValue(view.groups, name);
  if (group === undefined) {
    return Result.err(
      usageFault(`There is no group ${name}`, "see heroncleat groups"),
    );
  }
  const changed = change(group);
  return changed.isErr ? Result.err(changed.error) : setGroup(changed.value);
}

function setGroup(group: Group): Result<Edit[], Fault> {
  return Result.ok([{ kind: "group_set", group }]);
}

function readShare(
  context: CommandContext,
  fallback: number,
): Result<number, Fault> {
  const share = Number(context.options["share"] ?? fallback);
  if (!Number.isInteger(share) || share < 0 || share > MAX_SHARE) {
    return Result.err(
      usageFault(
        "--share is not an integer from 0 to 100",
        "use a weight such as 50",
      ),
    );
  }
  return Result.ok(share);
}

function missingNameError(usage: string): Result<Edit[], Fault> {
  return Result.err(usageFault("The group name is missing", `use ${usage}`));
}
