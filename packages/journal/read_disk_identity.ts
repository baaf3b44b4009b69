import { mkdir, readdir, readFile, stat } from "node:fs/promises";
import { join } from "node:path";
import { createFault, createToken, type Fault } from "@heroncleat/base";
import { Result } from "true-myth/result";
import { writeFileDurably } from "./write_file_durably.ts";

/** The identity of a data folder. */
type DiskIdentity = {
  readonly id: string;
  /** Whether the folder was empty and the identity has just been created. */
  readonly isNew: boolean;
};

const IDENTITY_FILE = "identity.json";
const FIRST_JOURNAL_FILE = "journal-0.log";
const VERSION = 1;

/**
 * Reads the identity of a data folder, or creates one if the folder is empty,
 * as after a lost disk. Returns a `damaged` fault if the identity is invalid,
 * or missing from a folder with data.
 *
 * @public
 */
export async function readDiskIdentity(
  folder: string,
): Promise<Result<DiskIdentity, Fault>> {
  await mkdir(folder, { recursive: true });
  const names = await readdir(folder);
  if (names.includes(IDENTITY_FILE)) {
    return await parseIdentity(join(folder, IDENTITY_FILE));
  }
  const unexpected = await findUnexpectedFiles(folder, names);
  if (unexpected.length > 0) {
    return Result.err(createFault(
      "damaged",
      `${folder} holds ${unexpected[0]} but no ${IDENTITY_FILE}. Remedy: ` +
        "empty the folder; the replica rejoins under a new identity.",
    ));
  }
  // The journal is created first, so an identity without one means data loss.
  await writeFileDurably(join(folder, FIRST_JOURNAL_FILE), Buffer.alloc(0));
  const id = createToken();
  const text = JSON.stringify({ version: VERSION, id });
  await writeFileDurably(join(folder, IDENTITY_FILE), Buffer.from(text));
  return Result.ok({ id, isNew: true });
}

/** Returns files that an interrupted first start doesn't leave behind. */
async function findUnexpectedFiles(
  folder: string,
  names: readonly string[],
): Promise<string[]> {
  const unexpected: string[] = [];
  for (const name of names) {
    if (name.endsWith(".new")) {
      continue;
    }
    const { size } = await stat(join(folder, name));
    if (name !== FIRST_JOURNAL_FILE || size > 0) {
      unexpected.push(name);
    }
  }
  return unexpected;
}

async function parseIdentity(
  path: string,
): Promise<Result<DiskIdentity, Fault>> {
  try {
    const value = JSON.parse(await readFile(path, "utf8"));
    if (typeof value.id === "string" && value.version === VERSION) {
      return Result.ok({ id: value.id, isNew: false });
    }
  } catch {
    // An unreadable file is reported like a malformed one.
  }
  return Result.err(createFault(
    "damaged",
    `${path} is not a version ${VERSION} identity. Remedy: empty the data ` +
      "folder; the replica rejoins under a new identity.",
  ));
}
