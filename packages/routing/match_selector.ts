import type { ConfigurationView, Selector } from "@heroncleat/schema";
import type { RoutedRequest } from "./routed_request.ts";

/** The attributes of a request that selectors match on. */
type SelectorAttributes = Pick<
  RoutedRequest,
  "workspace" | "model" | "service" | "method" | "path"
>;

/**
 * Returns the first selector that matches the request, by order and then by
 * name.
 *
 * @public
 */
export function matchSelector(
  view: ConfigurationView,
  request: SelectorAttributes,
): Selector | undefined {
  const selectors = Object.values(view.selectors).sort((left, right) =>
    left.order - right.order || (left.name < right.name ? -1 : 1)
  );
  return selectors.find((selector) => matches(selector, request));
}

function matches(selector: Selector, request: SelectorAttributes): boolean {
  const { match } = selector;
  const isEqualOrUnset = (expected: string | undefined, actual: string) =>
    expected === undefined || expected === actual;
  return isEqualOrUnset(match.workspace, request.workspace) &&
    isEqualOrUnset(match.model, request.model) &&
    isEqualOrUnset(match.service, request.service) &&
    isEqualOrUnset(match.method, request.method) &&
    request.path.startsWith(match.pathPrefix ?? "");
}
