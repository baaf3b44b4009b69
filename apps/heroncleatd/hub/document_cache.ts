import {
  limitDocumentNumbers,
  type ServingDocument,
} from "@heroncleat/serving";
import type { DecodedDocument } from "../gateway/exchange/decoded_document.ts";
import type { StoredDocument } from "./serving_application.ts";

/** Caches the decoded form of the newest configuration document. */
export class DocumentCache {
  readonly #decode: (source: string) => DecodedDocument;
  #stored: StoredDocument | undefined;
  #document: ServingDocument | undefined;

  constructor(decode: (source: string) => DecodedDocument) {
    this.#decode = decode;
  }

  decode(stored: StoredDocument | undefined): ServingDocument | undefined {
    if (stored !== undefined && stored !== this.#stored) {
      const decoded = this.#decode(stored.source);
      this.#document = decoded.kind === "document"
        ? limitDocumentNumbers(decoded.document)
        : undefined;
      this.#stored = stored;
    }
    return this.#document;
  }
}
