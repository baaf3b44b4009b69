import { createServer, type Server, type Socket } from "node:net";
import type { Announcement } from "@heroncleat/schema";
import { SuspectStatus } from "@heroncleat/serving";
import type { ProcessContext } from "../common/process_context.ts";
import type { RequestIdentity } from "../common/request_identity.ts";
import { SuspectSync } from "./suspect_sync.ts";

const HOST = "127.0.0.1";
const ENDED_INCARNATION = 1;
const NEXT_INCARNATION = 2;
/** Longer than a broken connection stays undecided. */
const LONG_DOWNTIME_MS = 9000;

const request: RequestIdentity = {
  attempt: "a",
  workspace: "inn",
  service: "desk",
  size: 20,
  digest: () => "r",
  parts: () => [],
};

/** Takes the connections of probes, as an upstream may just before it ends. */
class AcceptingUpstream {
  readonly #server: Server = createServer((socket: Socket) => socket.end());

  get address(): string {
    return `${HOST}:${(this.#server.address() as { port: number }).port}`;
  }

  start(): Promise<void> {
    return new Promise((resolve) => this.#server.listen(0, HOST, resolve));
  }

  stop(): Promise<void> {
    return new Promise((resolve) => this.#server.close(() => resolve()));
  }
}

class SyncFixture {
  now = 1000;
  readonly sync: SuspectSync;

  constructor() {
    const silentLog = { debug() {}, info() {}, warn() {}, error() {} };
    const context: Partial<ProcessContext> = {
      clock: {
        now: () => this.now,
        steady: () => this.now,
        wall: () => this.now,
      },
      metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
      log: () => silentLog,
      serve: () => {},
    };
    this.sync = new SuspectSync(context as ProcessContext);
  }

  announce(incarnation: number): void {
    const announcement: Partial<Announcement> = {
      name: "u1",
      incarnation,
      state: "serving",
    };
    this.sync.recordAnnouncement(announcement as Announcement, 0);
  }

  /** Breaks a connection while the probe still reaches the upstream. */
  async breakConnection(address: string): Promise<void> {
    const sentAt = this.now;
    this.now += 50;
    this.sync.watcher.recordBrokenConnection(request, {
      upstream: this.sync.instanceIdOf("u1"),
      address,
      sentAt,
    });
    await this.sync.watcher.waitForProbe(request);
  }

  get status(): SuspectStatus {
    return this.sync.watcher.status(request);
  }
}

const upstream = new AcceptingUpstream();

beforeAll(() => upstream.start());

afterAll(() => upstream.stop());

// Guards against crashes that don't count, as an upstream takes longer to start
// again than its lease lasts.
test("an upstream that timed out before its next instance started has crashed", async () => {
  const fixture = new SyncFixture();
  fixture.announce(ENDED_INCARNATION);
  await fixture.breakConnection(upstream.address);
  fixture.sync.recordLapse("u1");
  fixture.sync.expire();
  expect(fixture.status).toBe(SuspectStatus.unsuspected);
  fixture.announce(NEXT_INCARNATION);
  expect(fixture.status).toBe(SuspectStatus.watched);
});

test("an upstream that is heard again after it timed out hasn't crashed", async () => {
  const fixture = new SyncFixture();
  fixture.announce(ENDED_INCARNATION);
  await fixture.breakConnection(upstream.address);
  fixture.sync.recordLapse("u1");
  fixture.announce(ENDED_INCARNATION);
  expect(fixture.status).toBe(SuspectStatus.unsuspected);
  expect(fixture.sync.isRunning(fixture.sync.instanceIdOf("u1"))).toBe(true);
  fixture.announce(NEXT_INCARNATION);
  expect(fixture.status).toBe(SuspectStatus.watched);
});

test("a connection that broke long before the next instance doesn't count", async () => {
  const fixture = new SyncFixture();
  fixture.announce(ENDED_INCARNATION);
  await fixture.breakConnection(upstream.address);
  fixture.sync.recordLapse("u1");
  fixture.now += LONG_DOWNTIME_MS;
  fixture.sync.expire();
  fixture.announce(NEXT_INCARNATION);
  expect(fixture.status).toBe(SuspectStatus.unsuspected);
});
