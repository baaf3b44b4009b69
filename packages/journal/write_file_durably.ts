import { open, rename } from "node:fs/promises";
import { dirname } from "node:path";
import { syncFolder } from "./sync_folder.ts";

/**
 * Replaces a file atomically and durably: a crash leaves either the old or the
 * new content.
 *
 * @public
 */
export async function writeFileDurably(
  path: string,
  bytes: Buffer,
): Promise<void> {
  const temporary = `${path}.new`;
  const handle = await open(temporary, "w");
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, path);
  await syncFolder(dirname(path));
}
