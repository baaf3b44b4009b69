/**
 * A checksummed write-ahead log with snapshots, and the identity of the disk
 * that stores it.
 *
 * @module
 */
export { recordCodec } from "./record_codec.ts";
export { Journal } from "./journal.ts";
export { writeFileDurably } from "./write_file_durably.ts";
export { readDiskIdentity } from "./read_disk_identity.ts";
