import {
  type ReportedSuspect,
  RevisionCounter,
  SuspectRegistry,
  SuspectStatus,
} from "@heroncleat/serving";
import { SuspectWatcher } from "./suspect_watcher.ts";
import type { RequestIdentity } from "./request_identity.ts";

const silentLog = { debug() {}, info() {}, warn() {}, error() {} };
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };

function identify(
  digest: string,
  parts: readonly string[] = [],
): RequestIdentity {
  return {
    attempt: "a",
    workspace: "inn",
    service: "desk",
    size: 20,
    digest: () => digest,
    parts: () => parts,
  };
}

/**
 * A watcher over simulated upstreams, and the crashes and reports it produced.
 */
class WatcherFixture {
  now = 1000;
  readonly gone = new Set<string>();
  readonly replaced = new Set<string>();
  readonly leaving = new Set<string>();
  readonly crashed: string[] = [];
  readonly reported: ReportedSuspect[] = [];
  probes = 0;
  readonly watcher = new SuspectWatcher({
    registry: new SuspectRegistry({
      revisions: new RevisionCounter(),
      countUpstreams: () => 20,
    }),
    clock: {
      now: () => this.now,
      steady: () => this.now,
      wall: () => this.now,
    },
    log: silentLog,
    metrics,
    probe: (address) => {
      this.probes += 1;
      return Promise.resolve(!this.gone.has(address));
    },
    isReplaced: (upstream) => this.replaced.has(upstream),
    serviceOf: (upstream) => this.leaving.has(upstream) ? undefined : "desk",
    onCrash: (upstream) => this.crashed.push(upstream),
    report: (changed) => this.reported.push(...changed),
  });

  /** Runs a request on an upstream and breaks its connection. */
  async breakConnection(
    request: RequestIdentity,
    upstream: string,
  ): Promise<void> {
    const sentAt = this.now;
    this.now += 50;
    this.watcher.recordBrokenConnection(request, {
      upstream,
      address: upstream,
      sentAt,
    });
    await this.watcher.waitForProbe(request);
  }
}

test("a broken connection to a reachable upstream doesn't count as a crash", async () => {
  const fixture = new WatcherFixture();
  const request = identify("r");
  for (const upstream of ["u1", "u2", "u3", "u4"]) {
    await fixture.breakConnection(request, upstream);
  }
  expect(fixture.watcher.status(request)).toBe(SuspectStatus.unsuspected);
  expect(fixture.reported).toEqual([]);
});

test("reports crashes at once, and retries wait until a crash is detected", async () => {
  const fixture = new WatcherFixture();
  const request = identify("r");
  const statuses: SuspectStatus[] = [];
  for (const upstream of ["u1", "u2", "u3"]) {
    fixture.gone.add(upstream);
    await fixture.breakConnection(request, upstream);
    statuses.push(fixture.watcher.status(request));
  }
  expect(statuses).toEqual(["watched", "single", "rejected"]);
  expect(fixture.crashed).toEqual(["u1", "u2", "u3"]);
  expect(fixture.reported.map(({ crashes }) => crashes.length)).toEqual([
    1,
    2,
    3,
  ]);
  fixture.watcher.recordCompletion(request);
  expect(fixture.watcher.status(request)).toBe(SuspectStatus.unsuspected);
  expect(fixture.reported.at(-1)!.answeredAge).toBe(0);
});

// Guards against rejecting a resumed stream for a wave of crashes of which the
// others met upstreams without requests.
test.each([
  ["crash", [], SuspectStatus.single],
  ["leave", ["idle"], SuspectStatus.rejected],
])(
  "upstreams without requests that %s tell of other causes, or don't",
  async (_name, leaving, standing) => {
    const fixture = new WatcherFixture();
    leaving.forEach((upstream) => fixture.leaving.add(upstream));
    for (const upstream of ["u1", "u2", "u3"]) {
      fixture.now += 300;
      fixture.gone.add(upstream);
      await fixture.breakConnection(identify("r"), upstream);
      fixture.watcher.recordCrash("idle");
    }
    expect(fixture.watcher.status(identify("r"))).toBe(standing);
  },
);

// A probe may reach the next instance, or the upstream just before it crashes.
test("a crash that is detected later counts until the timeout", async () => {
  const fixture = new WatcherFixture();
  const [early, late] = [identify("soon"), identify("late")];
  await fixture.breakConnection(early, "u1");
  fixture.now += 4000;
  fixture.watcher.expire();
  fixture.watcher.recordCrash("u1");
  expect(fixture.watcher.status(early)).toBe(SuspectStatus.watched);
  await fixture.breakConnection(late, "u2");
  fixture.now += 9000;
  fixture.watcher.expire();
  fixture.watcher.recordCrash("u2");
  expect(fixture.watcher.status(late)).toBe(SuspectStatus.unsuspected);
});

test("an instance that has already been replaced isn't probed", async () => {
  const fixture = new WatcherFixture();
  fixture.replaced.add("u1");
  await fixture.breakConnection(identify("r"), "u1");
  expect(fixture.watcher.status(identify("r"))).toBe(SuspectStatus.watched);
  expect(fixture.probes).toBe(0);
});

// Guards against a new probe connection for each connection that an upstream
// resets.
test("an upstream that resets many connections is probed at most ten times a second", async () => {
  const fixture = new WatcherFixture();
  for (let index = 0; index < 200; index += 1) {
    fixture.now += 10;
    fixture.watcher.recordBrokenConnection(identify(`r${index}`), {
      upstream: "u1",
      address: "u1",
      sentAt: fixture.now - 5,
    });
    await Promise.resolve();
    await Promise.resolve();
  }
  expect(fixture.probes).toBeLessThanOrEqual(21);
});

test("tracks copies in flight while a request is suspected", async () => {
  const fixture = new WatcherFixture();
  const request = identify("r");
  const finishUntracked = fixture.watcher.trackCopy(request);
  expect(fixture.watcher.isInFlight(request)).toBe(false);
  fixture.gone.add("u1");
  await fixture.breakConnection(request, "u1");
  const finishFirst = fixture.watcher.trackCopy(request);
  const finishSecond = fixture.watcher.trackCopy(request);
  finishUntracked();
  finishFirst();
  expect(fixture.watcher.isInFlight(request)).toBe(true);
  finishSecond();
  expect(fixture.watcher.isInFlight(request)).toBe(false);
});

// Guards against a response cut short by a crash that clears what caused it.
test("a response that ends with its connection clears a part once its upstream is found running", async () => {
  jest.useFakeTimers();
  const fixture = new WatcherFixture();
  const next = identify("next", ["part:p:desk"]);
  const finish = async (upstream: string) => {
    const sentAt = fixture.now;
    fixture.now += 500;
    fixture.watcher.recordUnframedSuccess(identify(upstream, next.parts()), {
      upstream,
      address: upstream,
      sentAt,
      begunAt: sentAt + 450,
    });
    await jest.advanceTimersByTimeAsync(1000);
  };
  await finish("u0");
  expect(fixture.probes).toBe(0);
  for (const upstream of ["u1", "u2", "u3", "u4", "u5"]) {
    fixture.gone.add(upstream);
    const request = identify(upstream, next.parts());
    const breaking = fixture.breakConnection(request, upstream);
    await breaking;
    fixture.now += 450;
  }
  expect(fixture.watcher.findRejectedPart(next)).toBe("part:p:desk");
  fixture.gone.add("u6");
  await finish("u6");
  expect(fixture.watcher.findRejectedPart(next)).toBe("part:p:desk");
  await finish("u7");
  expect(fixture.watcher.findRejectedPart(next)).toBeUndefined();
  jest.useRealTimers();
});
