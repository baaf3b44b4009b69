import {
  type ReportedSuspect,
  RevisionCounter,
  SuspectRegistry,
  SuspectStatus,
} from "@heroncleat/serving";
import { CrashWatch } from "./crash_watch.ts";
import type { RequestIdentity } from "./request_identity.ts";

const quiet = { debug() {}, info() {}, warn() {}, error() {} };
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };

function identify(digest: string): RequestIdentity {
  return {
    attempt: "a",
    workspace: "inn",
    service: "desk",
    size: 20,
    digest: () => digest,
  };
}

/** A watch over upstreams that a test ends, and what it told. */
class TestWatch {
  now = 1000;
  readonly gone = new Set<string>();
  readonly over = new Set<string>();
  readonly ended: string[] = [];
  readonly told: ReportedSuspect[] = [];
  probes = 0;
  readonly watch = new CrashWatch({
    book: new SuspectRegistry({
      revisions: new RevisionCounter(),
      countUpstreams: () => 20,
    }),
    clock: {
      now: () => this.now,
      steady: () => this.now,
      wall: () => this.now,
    },
    log: quiet,
    metrics,
    probe: (address) => {
      this.probes += 1;
      return Promise.resolve(!this.gone.has(address));
    },
    isOver: (upstream) => this.over.has(upstream),
    onEnd: (upstream) => this.ended.push(upstream),
    report: (news) => this.told.push(...news),
  });

  /** A run of a request at an upstream whose connection ends. */
  async breakAt(request: RequestIdentity, upstream: string): Promise<void> {
    const sentAt = this.now;
    this.now += 50;
    this.watch.noteBreak(request, { upstream, address: upstream, sentAt });
    await this.watch.decided(request);
  }
}

test("a connection that ended says nothing where its upstream is there", async () => {
  const test = new TestWatch();
  const request = identify("r");
  for (const upstream of ["u1", "u2", "u3", "u4"]) {
    await test.breakAt(request, upstream);
  }
  expect(test.watch.standing(request)).toBe(SuspectStatus.unsuspected);
  expect(test.told).toEqual([]);
});

test("ends are told at once, and a repeat waits until they are known", async () => {
  const test = new TestWatch();
  const request = identify("r");
  const standings: SuspectStatus[] = [];
  for (const upstream of ["u1", "u2", "u3"]) {
    test.gone.add(upstream);
    await test.breakAt(request, upstream);
    standings.push(test.watch.standing(request));
  }
  expect(standings).toEqual(["watched", "single", "rejected"]);
  expect(test.ended).toEqual(["u1", "u2", "u3"]);
  expect(test.told.map(({ crashes }) => crashes.length)).toEqual([1, 2, 3]);
  test.watch.noteAnswer(request);
  expect(test.watch.standing(request)).toBe(SuspectStatus.unsuspected);
  expect(test.told.at(-1)!.answeredAge).toBe(0);
});

// The probe's connection was taken by the next start, or just before the end.
test("an end that shows later counts, but not one that shows too late", async () => {
  const test = new TestWatch();
  const [soon, late] = [identify("soon"), identify("late")];
  await test.breakAt(soon, "u1");
  test.now += 4000;
  test.watch.expire();
  test.watch.noteEnd("u1");
  expect(test.watch.standing(soon)).toBe(SuspectStatus.watched);
  await test.breakAt(late, "u2");
  test.now += 9000;
  test.watch.expire();
  test.watch.noteEnd("u2");
  expect(test.watch.standing(late)).toBe(SuspectStatus.unsuspected);
});

test("an end that is known already needs no probe", async () => {
  const test = new TestWatch();
  test.over.add("u1");
  await test.breakAt(identify("r"), "u1");
  expect(test.watch.standing(identify("r"))).toBe(SuspectStatus.watched);
  expect(test.probes).toBe(0);
});

// An upstream that resets half of its connections got as many new ones.
test("an upstream that breaks off many answers is asked ten times a second", async () => {
  const test = new TestWatch();
  for (let at = 0; at < 200; at += 1) {
    test.now += 10;
    test.watch.noteBreak(identify(`r${at}`), {
      upstream: "u1",
      address: "u1",
      sentAt: test.now - 5,
    });
    await Promise.resolve();
    await Promise.resolve();
  }
  expect(test.probes).toBeLessThanOrEqual(21);
});

test("copies under way are counted while a request is suspected", async () => {
  const test = new TestWatch();
  const request = identify("r");
  const endBefore = test.watch.begin(request);
  expect(test.watch.isUnderWay(request)).toBe(false);
  test.gone.add("u1");
  await test.breakAt(request, "u1");
  const endFirst = test.watch.begin(request);
  const endSecond = test.watch.begin(request);
  endBefore();
  endFirst();
  expect(test.watch.isUnderWay(request)).toBe(true);
  endSecond();
  expect(test.watch.isUnderWay(request)).toBe(false);
});
