import { open } from "node:fs/promises";

/** Makes created, renamed and removed names in a folder last. @internal */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, "r");
  try {
    await handle.sync();
  } finally {
    await handle.close();
  }
}
