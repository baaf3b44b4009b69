import { setTimeout as pause } from "node:timers/promises";
import type { StreamOriginBatch } from "@heroncleat/schema";
import { originGroups } from "../../common/origin_groups.ts";
import { OriginArchive } from "./origin_archive.ts";

const SEND_TIME_MS = 100;
/** What an entry may send at once, and in each second after that. */
const BYTE_BURST = 32_000;
const BYTES_PER_SECOND = 8000;
/** Length of the keys of streams in production. */
const KEY_LENGTH = 22;
const REPLICAS = ["a:1", "b:1", "c:1", "d:1"];
const origin = (stream: string) => ({
  stream,
  service: "desk",
  version: "v1",
  age: 5000,
  expiresIn: 20_000,
});

const keyOf = (name: string) => name.padEnd(KEY_LENGTH, "-");

/** Archives of two entries, and what each replica stores. */
function createArchives(unreachable: ReadonlySet<string> = new Set()) {
  const stored = new Map<string, Map<string, object>>();
  let messages = 0;
  let bytes = 0;
  let now = 0;
  const pool = {
    notify: (replica: string, _: string, parameters: unknown) => {
      messages += 1;
      bytes += JSON.stringify(parameters).length;
      const streams = stored.get(replica) ?? new Map();
      stored.set(replica, streams);
      for (
        const one of originGroups.list((parameters as StreamOriginBatch).groups)
      ) {
        streams.set(one.stream, one);
      }
    },
    call: (replica: string, _: string, options: { parameters: unknown }) => {
      if (unreachable.has(replica)) {
        return Promise.reject(new Error("unreachable"));
      }
      const { stream } = options.parameters as { stream: string };
      return Promise.resolve(stored.get(replica)?.get(stream) ?? null);
    },
  };
  const archives = [REPLICAS, REPLICAS.toReversed()].map((replicas, index) =>
    new OriginArchive({
      entry: `entry-${index}`,
      clock: { steady: () => now },
      metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
      pool,
      replicas: () => replicas,
    })
  );
  return {
    archives,
    stored,
    countMessages: () => messages,
    countBytes: () => bytes,
    advance: (milliseconds: number) => now += milliseconds,
  };
}

test("another entry finds a stream at either of two replicas", async () => {
  const unreachable = new Set<string>();
  const { archives, stored } = createArchives(unreachable);
  archives[0]!.store(origin("s"), false);
  await pause(SEND_TIME_MS);
  expect(stored.size).toBe(2);
  const [first, second] = [...stored.keys()];
  unreachable.add(first!);
  expect(await archives[1]!.find("s")).toEqual({
    kind: "found",
    origin: { service: "desk", version: "v1" },
    by: second,
    source: "replica",
    age: 5000,
  });
  unreachable.add(second!);
  expect(await archives[1]!.find("s")).toEqual({
    kind: "unknown",
    unanswered: 2,
    asked: 4,
  });
});

test("a stream that no replica knows is unknown, and none can't be asked", async () => {
  const { archives } = createArchives();
  expect(await archives[0]!.find("made-up")).toEqual({
    kind: "unknown",
    unanswered: 0,
    asked: 4,
  });
});

// Guards against control replicas that are flooded by many entries.
test("an entry stores origins within a budget of bytes, in few messages", async () => {
  const { archives, countBytes, countMessages, advance } = createArchives();
  for (let begun = 0; begun < 5000; begun += 1) {
    archives[0]!.store(origin(keyOf(`s${begun}`)), begun % 2 === 0);
  }
  await pause(SEND_TIME_MS);
  expect(countBytes()).toBeLessThanOrEqual(BYTE_BURST);
  expect(countMessages()).toBeLessThanOrEqual(20);
  for (let second = 1; second <= 10; second += 1) {
    advance(1000);
    for (let begun = 0; begun < 1000; begun += 1) {
      archives[0]!.store(origin(keyOf(`t${second}-${begun}`)), false);
    }
    await pause(SEND_TIME_MS);
  }
  expect(countBytes())
    .toBeLessThanOrEqual(BYTE_BURST + 10 * BYTES_PER_SECOND);
  expect(countMessages()).toBeLessThanOrEqual(100);
});

// Guards against streams that nobody can resume once all entries have ended, as
// more began than an entry stored.
test.each([40, 80, 140])(
  "all of %i streams a second are stored",
  async (rate) => {
    const { archives, countBytes, advance } = createArchives();
    const seconds = 20;
    // Several begin at a time, so that the test needn't wait for each.
    const steps = 4;
    for (let step = 0; step < seconds * steps; step += 1) {
      advance(1000 / steps);
      for (let index = 0; index < rate / steps; index += 1) {
        archives[0]!.store(origin(keyOf(`s${step}-${index}`)), false);
      }
      await pause(SEND_TIME_MS / 2);
    }
    // The last ones may have to wait for the budget.
    advance(1000);
    await pause(SEND_TIME_MS);
    let found = 0;
    for (let step = 0; step < seconds * steps; step += 1) {
      for (let index = 0; index < rate / steps; index += 1) {
        const { kind } = await archives[1]!.find(keyOf(`s${step}-${index}`));
        found += kind === "found" ? 1 : 0;
      }
    }
    expect(found).toBe(seconds * rate);
    expect(countBytes())
      .toBeLessThanOrEqual(BYTE_BURST + (seconds + 1) * BYTES_PER_SECOND);
  },
  15_000,
);

// Guards against streams that begin while many callers return, and that nobody
// can resume after another kill.
test("streams that begin are stored while many are resumed", async () => {
  const { archives, countBytes } = createArchives();
  for (let resumed = 0; resumed < 1000; resumed += 1) {
    archives[0]!.store(origin(keyOf(`r${resumed}`)), true);
  }
  await pause(SEND_TIME_MS);
  expect(countBytes()).toBeLessThanOrEqual(BYTE_BURST / 2);
  for (let begun = 0; begun < 200; begun += 1) {
    archives[0]!.store(origin(keyOf(`s${begun}`)), false);
  }
  await pause(SEND_TIME_MS);
  for (let begun = 0; begun < 200; begun += 1) {
    expect(await archives[1]!.find(keyOf(`s${begun}`))).toMatchObject({
      kind: "found",
    });
  }
  expect(countBytes()).toBeLessThanOrEqual(BYTE_BURST);
});
