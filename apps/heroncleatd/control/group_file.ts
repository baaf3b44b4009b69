import { readFile } from "node:fs/promises";
import { join } from "node:path";
import type { ReplicaMember } from "@heroncleat/schema";
import { writeFileDurably } from "@heroncleat/journal";

/** What a replica remembers of how its group was formed. */
type GroupRecord = {
  readonly version: 1;
  readonly founders: readonly ReplicaMember[];
};

const FILE_NAME = "group.json";

/** The file that says which members a group was formed with. */
export const groupFile = {
  async read(folder: string): Promise<GroupRecord | undefined> {
    try {
      const text = await readFile(join(folder, FILE_NAME), "utf8");
      return JSON.parse(text) as GroupRecord;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === "ENOENT") {
        return undefined;
      }
      throw error;
    }
  },

  async write(
    folder: string,
    founders: readonly ReplicaMember[],
  ): Promise<void> {
    const record: GroupRecord = { version: 1, founders };
    const bytes = Buffer.from(JSON.stringify(record));
    await writeFileDurably(join(folder, FILE_NAME), bytes);
  },
};
