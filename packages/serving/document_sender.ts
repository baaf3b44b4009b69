import { documentCodec } from "./document_codec.ts";
import type { SyncRequest } from "./sync_request.ts";

/** The confirmed configuration document of a replica, uncompressed. */
type ConfirmedDocument = {
  readonly version: number;
  readonly source: string;
};

/**
 * Provides the configuration document for entries that have an older version,
 * encoded once per version. Every replica sends it, as an entry may reach only
 * one replica that has it.
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
