import fc from "fast-check";
import {
  type CrashedRun,
  type ReportedSuspect,
  RevisionCounter,
  SuspectRegistry,
  SuspectStatus,
} from "./mod.ts";

const SECOND = 1000;
const MINUTE = 60 * SECOND;

function keyOf(request: string, workspace = "inn") {
  return { request, workspace, service: "desk", size: 20 };
}

function runAt(upstream: string, sentAt: number): CrashedRun {
  return { upstream, sentAt, endedAt: sentAt + 50 };
}

function createBook(): SuspectRegistry {
  return new SuspectRegistry({
    revisions: new RevisionCounter(),
    countUpstreams: () => 20,
  });
}

/** Notes that upstreams ended under a request, a second apart. */
function crash(book: SuspectRegistry, request: string, times: number): number {
  let at = 0;
  for (let time = 1; time <= times; time += 1) {
    at = time * SECOND;
    book.recordCrash(keyOf(request), runAt(`u${time}`, at));
  }
  return at + 50;
}

test.each([
  [0, SuspectStatus.unsuspected],
  [1, SuspectStatus.watched],
  [2, SuspectStatus.single],
  [3, SuspectStatus.rejected],
  [9, SuspectStatus.rejected],
])("after %i ends a request is %s", (times, standing) => {
  const book = createBook();
  const now = crash(book, "r", times);
  expect(book.statusOf("r", now)).toBe(standing);
  expect(book.statusOf("other", now)).toBe(SuspectStatus.unsuspected);
});

test("ends of different services and runs of no time count, too", () => {
  const book = createBook();
  for (const [at, service] of ["desk", "books", "desk"].entries()) {
    const key = { ...keyOf("r"), service };
    const time = 1000 * at;
    book.recordCrash(key, { upstream: `u${at}`, sentAt: time, endedAt: time });
  }
  expect(book.hasSuspectOfSize(20)).toBe(true);
  expect(book.statusOf("r", 3000)).toBe(SuspectStatus.rejected);
});

test("the end of one start counts once, whoever saw it", () => {
  const book = createBook();
  for (const sentAt of [0, 1000, 2000]) {
    book.recordCrash(keyOf("r"), runAt("u1", sentAt));
  }
  expect(book.statusOf("r", 3000)).toBe(SuspectStatus.watched);
});

// VMs that are reclaimed together end under a request that is at all of them.
test("ends at the same moment count as one", () => {
  const book = createBook();
  for (let at = 0; at < 20; at += 1) {
    const run = { upstream: `u${at}`, sentAt: 10 * at, endedAt: 5000 + 5 * at };
    book.recordCrash(keyOf("r"), run);
  }
  expect(book.statusOf("r", 6000)).toBe(SuspectStatus.watched);
});

test("runs that overlap count as one, however far apart they end", () => {
  const book = createBook();
  for (const [at, endedAt] of [3000, 5000, 9000, 12_000].entries()) {
    book.recordCrash(keyOf("r"), { upstream: `u${at}`, sentAt: at, endedAt });
  }
  expect(book.statusOf("r", 13_000)).toBe(SuspectStatus.watched);
});

test("a whole answer clears all ends before it, in whatever order they come", () => {
  const book = createBook();
  const now = crash(book, "r", 3);
  expect(book.recordCompletion("r", now + 10)).toBe(true);
  expect(book.statusOf("r", now + 10)).toBe(SuspectStatus.unsuspected);
  // Word of an earlier end comes late.
  expect(book.recordCrash(keyOf("r"), runAt("u9", now - 500))).toBe(false);
  expect(book.recordCrash(keyOf("r"), runAt("u8", now + 500))).toBe(true);
  expect(book.statusOf("r", now + 600)).toBe(SuspectStatus.watched);
});

test("a rejection ends, and lasts longer after each further end", () => {
  const book = createBook();
  let now = crash(book, "r", 3);
  now += 10 * MINUTE;
  expect(book.statusOf("r", now - 1)).toBe(SuspectStatus.rejected);
  expect(book.statusOf("r", now)).toBe(SuspectStatus.single);
  book.recordCrash(keyOf("r"), runAt("u4", now));
  expect(book.statusOf("r", now + 19 * MINUTE)).toBe(SuspectStatus.rejected);
  expect(book.statusOf("r", now + 21 * MINUTE)).toBe(SuspectStatus.single);
});

test("what is remembered is forgotten in time, and never while it is rejected", () => {
  const book = createBook();
  const now = crash(book, "rejected", 3);
  book.recordCrash(keyOf("watched"), runAt("v1", now));
  book.expire(now + 9 * MINUTE);
  expect(book.list(now + 9 * MINUTE).map(({ request }) => request))
    .toEqual(["rejected", "watched"]);
  book.expire(now + 20 * MINUTE);
  expect(book.list(now + 20 * MINUTE).map(({ request }) => request))
    .toEqual(["rejected"]);
  book.expire(now + 25 * 60 * MINUTE);
  expect(book.hasSuspectOfSize(20)).toBe(false);
});

test("a caller that makes up requests pushes out no other's", () => {
  const book = createBook();
  const now = crash(book, "rejected", 3);
  for (let count = 0; count < 5000; count += 1) {
    const key = keyOf(`made up ${count}`, "noisy");
    book.recordCrash(key, runAt(`u${count}`, now + 200 * count));
  }
  const views = book.list(now);
  expect(book.statusOf("rejected", now)).toBe(SuspectStatus.rejected);
  expect(views.filter(({ workspace }) => workspace === "noisy")).toHaveLength(
    200,
  );
});

test("many workspaces that make up requests stay within the whole", () => {
  const book = createBook();
  const now = crash(book, "rejected", 3);
  for (let count = 0; count < 5000; count += 1) {
    const key = keyOf(`made up ${count}`, `noisy ${count % 50}`);
    book.recordCrash(key, runAt(`u${count}`, now + 200 * count));
  }
  expect(book.list(now)).toHaveLength(1000);
  expect(book.statusOf("rejected", now)).toBe(SuspectStatus.rejected);
});

test("a request that was under way where another one ends upstreams is cleared", () => {
  const book = createBook();
  crash(book, "other", 3);
  const now = crash(book, "r", 4);
  expect(book.statusOf("r", now)).toBe(SuspectStatus.rejected);
  expect(book.statusOf("other", now)).toBe(SuspectStatus.unsuspected);
});

test("where upstreams often end it takes more ends to reject a request", () => {
  const book = createBook();
  for (let at = 0; at < 20; at += 1) {
    book.recordCrash(keyOf(`once ${at}`), runAt(`v${at}`, 200 * at));
  }
  for (let at = 0; at < 6; at += 1) {
    const run = {
      upstream: `u${at}`,
      sentAt: 600 * at,
      endedAt: 600 * at + 500,
    };
    book.recordCrash(keyOf("slow"), run);
    book.recordCrash(keyOf("quick"), runAt(`w${at}`, 600 * at));
    const standing = book.statusOf("slow", 4000);
    expect(standing).not.toBe(SuspectStatus.rejected);
  }
  expect(book.statusOf("quick", 4000)).toBe(SuspectStatus.rejected);
});

test("a follower is sent what changed, and knows the same then", () => {
  const [first, second] = [createBook(), createBook()];
  const now = crash(first, "r", 2);
  const reported = first.changesSince(0, now);
  expect(second.merge(reported, now)).toEqual(["r"]);
  expect(second.merge(reported, now + 9)).toEqual([]);
  const { revision } = first;
  expect(first.changesSince(revision, now)).toEqual([]);
  first.recordCrash(keyOf("r"), runAt("u7", now + 500));
  second.merge(first.changesSince(revision, now + 600), now + 600);
  expect(second.statusOf("r", now + 600)).toBe(SuspectStatus.rejected);
  expect(second.changesSince(0, now + 600)).toEqual(
    first.changesSince(0, now + 600),
  );
});

/** Ends and answers as processes saw them. */
const seen = fc.array(
  fc.record({
    request: fc.constantFrom("r", "s"),
    upstream: fc.integer({ min: 0, max: 12 }),
    sentAt: fc.integer({ min: 0, max: 8000 }),
    lasts: fc.integer({ min: 1, max: 2000 }),
    isAnswered: fc.boolean(),
  }),
  { maxLength: 30 },
);

test("what several processes saw comes to the same in any order, and again", () => {
  const now = 20_000;
  fc.assert(fc.property(seen, fc.integer(), (events, turn) => {
    const reports = events.map((event): ReportedSuspect => ({
      ...keyOf(event.request),
      crashes: event.isAnswered ? [] : [{
        // One start ends once: its times follow from its name.
        upstream: `u${event.upstream}`,
        sentAge: now - event.upstream * 600,
        endedAge: now - event.upstream * 600 - 100,
      }],
      answeredAge: event.isAnswered ? now - event.sentAt : undefined,
    }));
    const ends = reports.filter(({ crashes }) => crashes.length > 0);
    const book = createBook();
    book.merge(ends, now);
    const other = createBook();
    const at = Math.abs(turn) % (ends.length + 1);
    other.merge([...ends.slice(at), ...ends.slice(0, at), ...ends], now);
    book.merge(reports, now);
    other.merge([...reports].reverse(), now);
    for (const request of ["r", "s"]) {
      expect(other.statusOf(request, now)).toBe(book.statusOf(request, now));
    }
  }));
});

// After all processes had restarted, a rejected request was sent on once more
// and ended one more upstream: a process that has just started knows few of the
// upstreams, and took ends of many for ends of these few, as if it were chance.
test("a rejected request is rejected by a process that knows one upstream yet", () => {
  const book = createBook();
  const now = crash(book, "r", 3);
  for (let other = 0; other < 1; other += 1) {
    const run = {
      upstream: `v${other}`,
      sentAt: now - 1000,
      endedAt: now - 500,
    };
    book.recordCrash(keyOf(`other ${other}`), run);
  }
  expect(book.statusOf("r", now)).toBe(SuspectStatus.rejected);
  const started = new SuspectRegistry({
    revisions: new RevisionCounter(),
    countUpstreams: () => 1,
  });
  started.merge(book.changesSince(0, now), now);
  expect(started.statusOf("r", now)).toBe(SuspectStatus.rejected);
});
