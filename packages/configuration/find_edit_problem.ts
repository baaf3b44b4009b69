import { unreachable } from "@heroncleat/base";
import type { ConfigurationView, Edit, Selector } from "@heroncleat/schema";

/**
 * Returns why an edit is invalid for the configuration, or `undefined` if it is
 * valid.
 *
 * @internal
 */
export function findEditProblem(
  view: ConfigurationView,
  edit: Edit,
): string | undefined {
  switch (edit.kind) {
    case "group_set":
    case "limit_set":
    case "labels_set":
    case "order_requested":
      return undefined;
    case "group_removed":
      return findGroupProblem(view, edit.name);
    case "selector_set":
      return findSelectorProblem(view, edit.selector);
    case "selector_removed":
      return Object.hasOwn(view.selectors, edit.name)
        ? undefined
        : `There is no selector ${edit.name}. Remedy: see heroncleat selectors.`;
    case "limit_removed":
      return Object.hasOwn(view.limits, edit.workspace)
        ? undefined
        : `There is no limit for ${edit.workspace}. Remedy: see heroncleat limits.`;
    default:
      return unreachable(edit);
  }
}

function findGroupProblem(
  view: ConfigurationView,
  name: string,
): string | undefined {
  if (!Object.hasOwn(view.groups, name)) {
    return `There is no group ${name}. Remedy: see heroncleat groups.`;
  }
  const selectors = Object.values(view.selectors).filter((selector) =>
    selector.groups.includes(name)
  );
  if (selectors.length === 0) {
    return undefined;
  }
  return `Selector ${selectors[0]!.name} uses group ${name}. Remedy: change ` +
    "or remove the selector first.";
}

function findSelectorProblem(
  view: ConfigurationView,
  selector: Selector,
): string | undefined {
  for (const name of selector.groups) {
    if (!Object.hasOwn(view.groups, name)) {
      return `Selector ${selector.name} names the unknown group ${name}. ` +
        "Remedy: set the group first or in the same change.";
    }
  }
  return undefined;
}
