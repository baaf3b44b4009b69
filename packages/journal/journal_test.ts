import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createSeededRandom } from "@heroncleat/base";
import type { JournalRecord } from "@heroncleat/schema";
import * as fc from "fast-check";
import { Journal, readDiskIdentity } from "./mod.ts";

async function openEmptyFolder() {
  const folder = mkdtempSync(join(tmpdir(), "heroncleat-journal-"));
  const identity = await readDiskIdentity(folder);
  const opened = await Journal.open(folder);
  if (identity.isErr || opened.isErr) {
    throw new Error("failed to open an empty folder");
  }
  return { folder, id: identity.value.id, journal: opened.value.journal };
}

const entry = (index: number): JournalRecord => ({
  kind: "entries",
  entries: [{ index, term: 1, kind: "command", payload: { n: index } }],
});
const snapshot = (lastIndex: number) => ({
  lastIndex,
  lastTerm: 1,
  members: [],
  data: "state",
});

describe("a journal", () => {
  test("restores the latest snapshot and the records after it", async () => {
    const { folder, journal } = await openEmptyFolder();
    await journal.append([{ records: [entry(1)] }, { records: [entry(2)] }]);
    await journal.append([
      { records: [entry(3)], snapshot: snapshot(2) },
      { records: [entry(4)] },
    ]);
    await journal.close();
    const reopened = await Journal.open(folder);
    expect(reopened.isOk && reopened.value.content).toMatchObject({
      snapshot: { lastIndex: 2 },
      records: [entry(3), entry(4)],
    });
    const files = readdirSync(folder).sort();
    expect(files).toEqual(["identity.json", "journal-1.log", "snapshot-1.bin"]);
    await (reopened.isOk ? reopened.value.journal.close() : undefined);
    rmSync(folder, { recursive: true });
  });

  test("reports damage when the journal file is missing", async () => {
    const { folder, journal } = await openEmptyFolder();
    await journal.append([{ records: [entry(1)] }]);
    await journal.close();
    rmSync(join(folder, "journal-0.log"));
    const opened = await Journal.open(folder);
    expect(opened.isErr && opened.error.message).toContain("Remedy:");
    rmSync(folder, { recursive: true });
  });

  test("creates a new identity for an emptied folder", async () => {
    const { folder, id, journal } = await openEmptyFolder();
    await journal.close();
    const same = await readDiskIdentity(folder);
    expect(same.isOk && same.value).toEqual({ id, isNew: false });
    rmSync(folder, { recursive: true });
    const other = await readDiskIdentity(folder);
    expect(other.isOk && other.value.id).not.toBe(id);
    rmSync(folder, { recursive: true });
  });

  test("drops only a torn tail, and reports any other damage", async () => {
    const { folder, journal } = await openEmptyFolder();
    const records = Array.from({ length: 12 }, (_, n) => entry(n + 1));
    await journal.append([{ records }]);
    await journal.close();
    const path = join(folder, "journal-0.log");
    const bytes = readFileSync(path);
    const random = createSeededRandom(8);
    await fc.assert(
      fc.asyncProperty(
        fc.nat(bytes.length - 1),
        fc.boolean(),
        async (position, isTruncated) => {
          const damaged = Buffer.from(bytes);
          damaged[position]! ^= 1 + Math.floor(random() * 255);
          writeFileSync(
            path,
            isTruncated ? bytes.subarray(0, position) : damaged,
          );
          const opened = await Journal.open(folder);
          if (opened.isErr) {
            expect(isTruncated).toBe(false);
            expect(opened.error.message).toContain("Remedy:");
            return;
          }
          const found = opened.value.content.records;
          expect(found).toEqual(records.slice(0, found.length));
          await opened.value.journal.close();
        },
      ),
      { numRuns: 300, seed: 12 },
    );
    rmSync(folder, { recursive: true });
  });
});
