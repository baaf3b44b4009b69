import type { ServingDocument } from "@heroncleat/serving";
import type { PeerContext } from "../peer_context.ts";

/** Inputs of `heroncleat check`. */
export type CheckOptions = PeerContext & {
  /** File with the document to compare with. */
  readonly against: string | undefined;
  /** Whether warnings fail the check. */
  readonly isStrict: boolean;
  readonly decode: (source: string) =>
    | { readonly kind: "document"; readonly document: ServingDocument }
    | { readonly kind: "unreadable"; readonly problem: string };
};
