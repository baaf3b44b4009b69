import type { ConfigurationView, Selector } from "@heroncleat/schema";
import type { RoutedRequest } from "./routed_request.ts";

/** The parts of a request that selectors look at. */
type SelectedRequest = Pick<
  RoutedRequest,
  "workspace" | "model" | "service" | "method" | "path"
>;

/**
 * The first selector, by order and then by name, that takes the request.
 *
 * @public
 */
export function matchSelector(
  view: ConfigurationView,
  request: SelectedRequest,
): Selector | undefined {
  const selectors = Object.values(view.selectors).sort((left, right) =>
    left.order - right.order || (left.name < right.name ? -1 : 1)
  );
  return selectors.find((selector) => matches(selector, request));
}

function matches(selector: Selector, request: SelectedRequest): boolean {
  const { match } = selector;
  const fits = (wanted: string | undefined, found: string) =>
    wanted === undefined || wanted === found;
  return fits(match.workspace, request.workspace) &&
    fits(match.model, request.model) &&
    fits(match.service, request.service) &&
    fits(match.method, request.method) &&
    request.path.startsWith(match.pathPrefix ?? "");
}
