import { mkdir, readdir, readFile, stat } from "node:fs/promises";
import { join } from "node:path";
import { createFault, createToken, type Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";
import { writeFileDurably } from "./write_file_durably.ts";

/** The identity of a data folder. */
type DiskIdentity = {
  readonly id: string;
  /** Whether the folder was empty, so that the identity is new. */
  readonly fresh: boolean;
};

const FILE_NAME = "identity.json";
const FIRST_JOURNAL = "journal-0.log";
const VERSION = 1;

/**
 * Reads the identity of a data folder, or gives an empty folder a new one. A
 * folder whose disk was lost so gets another identity and can't pass for the
 * replica it was.
 *
 * @public
 */
export async function readDiskIdentity(
  folder: string,
): Promise<Result<DiskIdentity, Fault>> {
  await mkdir(folder, { recursive: true });
  const names = await readdir(folder);
  if (names.includes(FILE_NAME)) {
    return await parseIdentity(join(folder, FILE_NAME));
  }
  const others = await findContent(folder, names);
  if (others.length > 0) {
    return Result.err(createFault(
      "damaged",
      `${folder} holds ${others[0]} but no ${FILE_NAME}. Remedy: empty the ` +
        "folder; the replica rejoins under a new identity.",
    ));
  }
  // The journal comes first: an identity without one means a lost journal.
  await writeFileDurably(join(folder, FIRST_JOURNAL), Buffer.alloc(0));
  const id = createToken();
  const text = JSON.stringify({ version: VERSION, id });
  await writeFileDurably(join(folder, FILE_NAME), Buffer.from(text));
  return Result.ok({ id, fresh: true });
}

/** Names that an interrupted first start can't have left. */
async function findContent(
  folder: string,
  names: readonly string[],
): Promise<string[]> {
  const content: string[] = [];
  for (const name of names) {
    if (name.endsWith(".new")) {
      continue;
    }
    const { size } = await stat(join(folder, name));
    if (name !== FIRST_JOURNAL || size > 0) {
      content.push(name);
    }
  }
  return content;
}

async function parseIdentity(
  path: string,
): Promise<Result<DiskIdentity, Fault>> {
  try {
    const value = JSON.parse(await readFile(path, "utf8"));
    if (typeof value.id === "string" && value.version === VERSION) {
      return Result.ok({ id: value.id, fresh: false });
    }
  } catch {
    // Falls through: an unreadable file is reported like a malformed one.
  }
  return Result.err(createFault(
    "damaged",
    `${path} is not a version ${VERSION} identity. Remedy: empty the data ` +
      "folder; the replica rejoins under a new identity.",
  ));
}
