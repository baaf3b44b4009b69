import type { Route, Workspace } from "@heroncleat/serving";
import type { LocalResponse } from "./responses/local_response.ts";

/**
 * The decision whether a request may be forwarded, with the response to it if
 * not.
 */
export type Admission =
  | {
    readonly kind: "admitted";
    readonly route: Route;
    readonly service: string;
    readonly workspace: Workspace | undefined;
    readonly documentVersion: number;
  }
  | { readonly kind: "refused"; readonly response: LocalResponse };
