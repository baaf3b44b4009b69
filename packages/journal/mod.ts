/**
 * A checksummed, synced record log with snapshots, and the identity of the
 * disk it lives on.
 *
 * @module
 */
export { Journal } from "./journal.ts";
export { writeFileDurably } from "./write_file_durably.ts";
export { readDiskIdentity } from "./read_disk_identity.ts";
