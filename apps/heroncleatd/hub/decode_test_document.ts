import type { ServingDocument } from "@heroncleat/serving";
import type { DecodedDocument } from "../gateway/decoded_document.ts";

/** Documents of tests are sent as they are. */
export function decodeTestDocument(source: string): DecodedDocument {
  const document = JSON.parse(source) as ServingDocument;
  return { kind: "document", document };
}
