import { readFile } from "node:fs/promises";
import { join } from "node:path";
import type { ReplicaMember } from "@heroncleat/schema";
import { writeFileDurably } from "@heroncleat/journal";

type GroupRecord = {
  readonly version: 1;
  readonly founders: readonly ReplicaMember[];
};

const FILE_NAME = "group.json";

/** Reads and writes the file that stores the initial members of the group. */
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
    initialMembers: readonly ReplicaMember[],
  ): Promise<void> {
    const record: GroupRecord = { version: 1, founders: initialMembers };
    const bytes = Buffer.from(JSON.stringify(record));
    await writeFileDurably(join(folder, FILE_NAME), bytes);
  },
};
