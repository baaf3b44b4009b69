import {
  mkdtempSync,
  readdirSync,
  rmSync,
  statSync,
  truncateSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import type { StreamOriginBatch } from "@heroncleat/schema";
import { STREAM_RETENTION } from "@heroncleat/serving";
import { OriginStore } from "./origin_store.ts";

const WRITE_TIME_MS = 150;
const silentLog = { debug() {}, info() {}, warn() {}, error() {} };
let folder = "";
let now = 0;
let wall = 0;

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), "heroncleat-origins-"));
  now = 5000;
  wall = 1_700_000_000_000;
});
afterEach(() => rmSync(folder, { recursive: true, force: true }));

async function openStore(): Promise<OriginStore> {
  const store = new OriginStore({
    folder,
    clock: { now: () => now, steady: () => now, wall: () => wall },
    log: silentLog,
    metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
  });
  await store.read();
  store.open();
  return store;
}

function noticeOf(
  stream: string,
  { version = "v1", expiresIn = 20_000 } = {},
): StreamOriginBatch {
  return {
    kind: "stream_origin_batch",
    entry: "entry-1",
    groups: [{
      streams: stream,
      service: "desk",
      version,
      age: 100,
      expiresIn,
    }],
  };
}

function advance(milliseconds: number): void {
  now += milliseconds;
  wall += milliseconds;
}

const listFiles = () =>
  readdirSync(folder).filter((name) => name.startsWith("origins-"));

test("an origin outlasts a restart, until its caller may no longer resume", async () => {
  const store = await openStore();
  store.add(noticeOf("s"));
  expect(store.find("s")).toEqual({ service: "desk", version: "v1", age: 100 });
  await pause(WRITE_TIME_MS);
  store.close();
  advance(3000);
  // The monotonic clock of another process has another origin.
  now = 70;
  const restarted = await openStore();
  expect(restarted.find("s")).toMatchObject({ version: "v1", age: 3100 });
  expect(restarted.find("other")).toBeUndefined();
  advance(18_000);
  restarted.expire();
  expect(restarted.find("s")).toBeUndefined();
});

// Guards against streams that go on at either of two versions.
test("two origins of one stream contradict each other, also over a restart", async () => {
  const store = await openStore();
  store.add(noticeOf("s"));
  await pause(WRITE_TIME_MS);
  store.add(noticeOf("s", { version: "v2" }));
  expect(store.find("s")).toBeUndefined();
  await pause(WRITE_TIME_MS);
  expect((await openStore()).find("s")).toBeUndefined();
});

test("a batch that a loss of power cut off is dropped", async () => {
  const store = await openStore();
  store.add(noticeOf("first"));
  await pause(WRITE_TIME_MS);
  store.add(noticeOf("second"));
  await pause(WRITE_TIME_MS);
  const path = join(folder, listFiles()[0]!);
  truncateSync(path, statSync(path).size - 5);
  const restarted = await openStore();
  expect(restarted.find("first")).toBeDefined();
  expect(restarted.find("second")).toBeUndefined();
  // What is added after the torn batch is read again.
  restarted.add(noticeOf("third"));
  await pause(WRITE_TIME_MS);
  const again = await openStore();
  expect(again.find("first")).toBeDefined();
  expect(again.find("third")).toBeDefined();
});

// Guards against a disk that fills up with origins, and against a wall clock
// that was set back, after which files would never be old.
test("files are removed once no stream in them can be resumed", async () => {
  const store = await openStore();
  for (let made = 0; made < 5; made += 1) {
    store.add(noticeOf(`s${made}`));
    await pause(WRITE_TIME_MS);
    advance(STREAM_RETENTION);
  }
  expect(listFiles().length).toBeLessThanOrEqual(3);
  wall -= 10 * STREAM_RETENTION;
  store.add(noticeOf("late"));
  await pause(WRITE_TIME_MS);
  expect(listFiles()).toHaveLength(1);
  expect((await openStore()).find("late")).toBeDefined();
});

test("no record is kept for longer than a stream may last", async () => {
  const store = await openStore();
  store.add(noticeOf("s", { expiresIn: 10 * STREAM_RETENTION }));
  advance(STREAM_RETENTION + 1);
  expect(store.find("s")).toBeUndefined();
});
