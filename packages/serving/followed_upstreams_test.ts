import { createSeededRandom } from "@heroncleat/base";
import { followedShare, type FollowedShares, Hub } from "./mod.ts";
import type { SyncRequest } from "./sync_request.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

const STEP_MS = 600;
/** Entries that are played; the others would get the same. */
const PLAYED = 12;

function record(index: number, sequence: number): UpstreamRecord {
  return {
    id: `i-${index.toString(16).padStart(8, "0")}`,
    name: `i-${index.toString(16).padStart(8, "0")}`,
    born: undefined,
    service: "pool",
    address: `10.1.${index >> 8}.${index & 255}:8080`,
    zone: "a",
    slots: 64,
    sequence,
    state: "ready",
    isSpot: false,
    leavesIn: undefined,
  };
}

/** An entry as far as it follows upstreams. */
class Follower {
  readonly name: string;
  readonly known = new Map<string, UpstreamRecord>();
  followed: FollowedShares = {};
  feed = "";
  revision = 0;
  loadsSince = 0;

  constructor(name: string) {
    this.name = name;
  }

  get listed(): string[] {
    return [...this.known.values()].filter(({ name, service }) =>
      followedShare.includes(this.name, name, this.followed[service] ?? 1)
    ).map(({ id }) => id);
  }

  /** Exchanges with a replica; returns the bytes of the reply. */
  exchange(hub: Hub, now: number, loads: SyncRequest["loads"]): number {
    const reply = hub.sync({
      entry: {
        name: this.name,
        boot: "1",
        address: "10.0.0.1:80",
        zone: "a",
        region: "r",
        isOpen: true,
      },
      wall: now,
      feed: this.feed,
      revision: this.revision,
      followed: this.followed,
      takesChanges: true,
      loadsSince: this.loadsSince,
      documentVersion: 1,
      spent: {},
      readWork: {},
      readingSpeeds: {},
      loads,
      usage: {},
    }, { now, document: undefined, controls: [], isLeading: true });
    this.followed = reply.followed ??
      (reply.feed === this.feed ? this.followed : {});
    this.feed = reply.feed;
    this.revision = reply.revision;
    this.loadsSince = reply.revision;
    for (const upstream of reply.upstreams) {
      this.known.set(upstream.id, upstream);
    }
    return JSON.stringify({ ...reply, entries: [], entryChanges: {} }).length;
  }
}

const SIZES = [
  { entries: 12, upstreams: 120 },
  { entries: 100, upstreams: 1000 },
  { entries: 300, upstreams: 3000 },
  { entries: 430, upstreams: 5800 },
];

// Load: all upstreams send heartbeats and change their load in each interval.
test.each(SIZES)(
  "what an entry is sent doesn't grow with $upstreams upstreams",
  ({ entries, upstreams }) => {
    const random = createSeededRandom(1);
    const hub = new Hub("feed");
    const followers = Array.from(
      { length: PLAYED },
      (_, index) => new Follower(`entry-${index}`),
    );
    let now = 0;
    let bytes = 0;
    for (let round = 1; round <= 6; round += 1) {
      now += STEP_MS;
      for (let index = 0; index < upstreams; index += 1) {
        hub.mergeUpstream(record(index, round), now);
      }
      bytes = 0;
      for (const follower of followers) {
        const loads: Record<string, { requests: number; backlog: number }> = {};
        const { listed } = follower;
        for (const id of listed) {
          if (random() < upstreams / entries / listed.length) {
            loads[id] = { requests: round, backlog: 10 };
          }
        }
        bytes += follower.exchange(hub, now, loads);
      }
    }
    for (const follower of followers) {
      expect(follower.listed.length).toBeGreaterThan(30);
      expect(follower.listed.length).toBeLessThan(240);
    }
    // Each followed upstream takes about 25 bytes for its heartbeat and 45 for
    // its load.
    expect(bytes / PLAYED).toBeLessThan(240 * 70 + 1000);
  },
);

test("an entry gets the upstreams that it lacks when a service shrinks", () => {
  const hub = new Hub("feed");
  const follower = new Follower("entry-1");
  let now = 0;
  const beat = (count: number, sequence: number) => {
    now += STEP_MS;
    for (let index = 0; index < count; index += 1) {
      hub.mergeUpstream(record(index, sequence), now);
    }
    follower.exchange(hub, now, {});
    follower.exchange(hub, now + 1, {});
  };
  for (let sequence = 1; sequence < 4; sequence += 1) {
    beat(800, sequence);
  }
  expect(follower.listed.length).toBeLessThan(200);
  for (let index = 50; index < 800; index += 1) {
    hub.removeUpstream(record(index, 9).name, now);
  }
  beat(50, 10);
  beat(50, 11);
  const ready = follower.listed.filter((id) =>
    follower.known.get(id)!.state === "ready"
  );
  expect(ready.length).toBe(50);
});

test("all upstreams are followed by similar numbers of entries", () => {
  const share = followedShare.forCount(3000, 1);
  const followers = (upstream: number) =>
    Array.from({ length: 300 }, (_, entry) => `edge-${entry}`)
      .filter((entry) =>
        followedShare.includes(entry, record(upstream, 1).name, share)
      ).length;
  const counts = Array.from({ length: 3000 }, (_, index) => followers(index));
  const expected = 300 * share;
  expect(Math.min(...counts)).toBeGreaterThan(0);
  expect(Math.max(...counts)).toBeLessThan(expected * 3.5);
});
