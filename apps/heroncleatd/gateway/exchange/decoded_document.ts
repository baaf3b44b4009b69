import type { ServingDocument } from "@heroncleat/serving";

/**
 * A decoded configuration document, or the reason why the text can't be
 * decoded.
 */
export type DecodedDocument =
  | { readonly kind: "document"; readonly document: ServingDocument }
  | { readonly kind: "unreadable"; readonly problem: string };
