import { open } from "node:fs/promises";

/**
 * Makes the creation, renaming and removal of files in a folder durable.
 *
 * @internal
 */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
