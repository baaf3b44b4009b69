import { unreachable } from "@heroncleat/base";
import type { ConfigurationView, Edit } from "@heroncleat/schema";

/**
 * Applies one edit in place and returns the value it replaced, or `null` if
 * there was none. Control replicas and entries both use it, so their copies of
 * a revision are identical.
 *
 * @public
 */
export function applyEdit(view: ConfigurationView, edit: Edit): unknown {
  switch (edit.kind) {
    case "group_set":
      return put(view.groups, edit.group.name, edit.group);
    case "group_removed":
      return remove(view.groups, edit.name);
    case "selector_set":
      return put(view.selectors, edit.selector.name, edit.selector);
    case "selector_removed":
      return remove(view.selectors, edit.name);
    case "limit_set":
      return put(view.limits, edit.limit.workspace, edit.limit);
    case "limit_removed":
      return remove(view.limits, edit.workspace);
    case "labels_set":
      return put(view.labels, edit.upstream, edit.labels);
    case "order_requested":
      return null;
    default:
      return unreachable(edit);
  }
}

function put<Value>(
  values: Record<string, Value>,
  key: string,
  value: Value,
): Value | null {
  const before = Object.hasOwn(values, key) ? values[key]! : null;
  values[key] = value;
  return before;
}

function remove<Value>(
  values: Record<string, Value>,
  key: string,
): Value | null {
  const before = Object.hasOwn(values, key) ? values[key]! : null;
  delete values[key];
  return before;
}
