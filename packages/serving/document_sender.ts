import { documentCodec } from "./document_codec.ts";
import type { SyncRequest } from "./sync_request.ts";

/** The confirmed document of a replica, as it came. */
type ConfirmedDocument = {
  readonly version: number;
  readonly source: string;
};

/**
 * The document as entries are sent it: packed once for all of them, and only
 * where an entry's is older. Every replica sends it, as an entry may reach just
 * one that has it.
 *
 * @internal
 */
export class DocumentSender {
  #encoded = { version: -1, text: "" };

  documentFor(
    request: SyncRequest,
    document: ConfirmedDocument | undefined,
  ): string | undefined {
    const isOutdated = document !== undefined &&
      document.version > request.documentVersion;
    if (!isOutdated) {
      return undefined;
    }
    const { version, source } = document;
    if (this.#encoded.version !== version) {
      this.#encoded = { version, text: documentCodec.encode(source) };
    }
    return this.#encoded.text;
  }
}
