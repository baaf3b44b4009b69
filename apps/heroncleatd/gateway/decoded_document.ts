import type { ServingDocument } from "@heroncleat/serving";

/** A document read from its text, or what keeps it from being read. */
export type DecodedDocument =
  | { readonly kind: "document"; readonly document: ServingDocument }
  | { readonly kind: "unreadable"; readonly problem: string };
