import type { ServingDocument } from "@heroncleat/serving";
import type { DecodedDocument } from "../gateway/exchange/decoded_document.ts";

/** Decodes a configuration document that a test publishes as plain JSON. */
export function decodeTestDocument(source: string): DecodedDocument {
  const document = JSON.parse(source) as ServingDocument;
  return { kind: "document", document };
}
