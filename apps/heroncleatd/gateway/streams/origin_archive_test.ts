import { setTimeout as pause } from "node:timers/promises";
import type { StreamOriginNotice } from "@heroncleat/schema";
import { OriginArchive } from "./origin_archive.ts";

const SEND_TIME_MS = 60;
const REPLICAS = ["a:1", "b:1", "c:1", "d:1"];
const origin = (stream: string) => ({
  stream,
  service: "desk",
  version: "v1",
  age: 5,
  expiresIn: 20_000,
});

/** Archives of two entries, and what each replica stores. */
function createArchives(unreachable: ReadonlySet<string> = new Set()) {
  const stored = new Map<string, Map<string, object>>();
  let messages = 0;
  let now = 0;
  const pool = {
    notify: (replica: string, _: string, parameters: unknown) => {
      messages += 1;
      const streams = stored.get(replica) ?? new Map();
      stored.set(replica, streams);
      for (const one of (parameters as StreamOriginNotice).origins) {
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
    countCopies: () =>
      [...stored.values()].reduce((sum, { size }) => sum + size, 0),
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
    age: 5,
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
test("an entry stores a bounded number of origins in few messages", async () => {
  const { archives, countCopies, countMessages, advance } = createArchives();
  for (let begun = 0; begun < 1000; begun += 1) {
    archives[0]!.store(origin(`s${begun}`), begun % 2 === 0);
  }
  await pause(SEND_TIME_MS);
  expect(countCopies()).toBe(2 * 120);
  expect(countMessages()).toBeLessThanOrEqual(20);
  for (let second = 1; second <= 10; second += 1) {
    advance(1000);
    for (let begun = 0; begun < 100; begun += 1) {
      archives[0]!.store(origin(`t${second}-${begun}`), false);
    }
  }
  await pause(SEND_TIME_MS);
  expect(countCopies()).toBe(2 * (120 + 10 * 40));
});

// Guards against streams that begin while many callers return, and that nobody
// can resume after another kill.
test("streams that begin are stored while many are resumed", async () => {
  const { archives, countCopies } = createArchives();
  for (let resumed = 0; resumed < 200; resumed += 1) {
    archives[0]!.store(origin(`r${resumed}`), true);
  }
  for (let begun = 0; begun < 60; begun += 1) {
    archives[0]!.store(origin(`s${begun}`), false);
  }
  await pause(SEND_TIME_MS);
  for (let begun = 0; begun < 60; begun += 1) {
    expect(await archives[1]!.find(`s${begun}`)).toMatchObject({
      kind: "found",
    });
  }
  expect(countCopies()).toBe(2 * 120);
});
