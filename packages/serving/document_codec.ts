import { gunzipSync, gzipSync } from "node:zlib";

/**
 * Encodes a configuration document's source for entries, as gzip in Base64.
 * Large documents sent uncompressed to many entries exceed the timeout of an
 * exchange on slow links and queue up in the replicas' memory.
 *
 * @public
 */
export const documentCodec = {
  encode(source: string): string {
    return gzipSync(source).toString("base64");
  },

  /**
   * Decodes a source; also accepts an uncompressed one, which replicas of the
   * previous release send. Entries must be updated before replicas.
   */
  decode(reported: string): string {
    return reported.startsWith("{")
      ? reported
      : gunzipSync(Buffer.from(reported, "base64")).toString("utf8");
  },
};
