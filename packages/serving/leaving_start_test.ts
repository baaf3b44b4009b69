import { Hub } from "./hub.ts";
import { startId } from "./start_id.ts";
import { UpstreamBalancer } from "./upstream_balancer.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

const NAME = "u1";
/** Silence after which an upstream is used no more; see upstream_choice.ts. */
const SILENT_AFTER = 5000;
/** Ages up to this are left out at each of two hops. */
const LEAST_AGE = 500;

function heartbeat(
  sequence: number,
  changes: Partial<UpstreamRecord> = {},
): UpstreamRecord {
  const born = changes.born;
  return {
    id: startId(NAME, born),
    name: NAME,
    born,
    service: "desk",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 4,
    sequence,
    state: "ready",
    isSpot: false,
    leavesIn: undefined,
    ...changes,
  };
}

/** One replica reads all of another one's feed. */
function read(reader: Hub, from: Hub, now: number): void {
  const reply = from.answerFeed({ feed: "", revision: 0 }, now);
  reader.learnFeed(JSON.parse(JSON.stringify(reply)), now, {
    reporter: from.feed,
  });
}

/** What an entry that starts takes over from a replica. */
function startEntry(from: Hub, now: number): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  const reply = from.answerFeed({ feed: "", revision: 0 }, now);
  for (const record of reply.upstreams) {
    const age = reply.ages?.[record.id] ?? 0;
    directory.merge(record, now, { reporter: from.feed, age });
  }
  return directory;
}

function isUsed(directory: UpstreamDirectory, now: number): boolean {
  const chosen = new UpstreamBalancer().choose(directory.list(), {
    now,
    requiresHeartbeats: true,
    request: {
      service: "desk",
      zone: "a",
      parts: [],
      promptTokens: 0,
      excluded: new Set(),
      engine: undefined,
      isConnected: undefined,
    },
  });
  return chosen !== undefined;
}

// An upstream fell silent for good. Each replica and each entry that started
// meanwhile counted its silence from the moment at which it was told of it, and
// replicas told of it for a minute: a replica that started 4 s after the last
// heartbeat and an entry that started 4 s after that one used it until 13 s
// after it. With the age told along, silence ends at the same moment for all.
test("a silent upstream is as old to whoever starts as to the others", () => {
  const heard = new Hub("heard");
  heard.mergeUpstream(heartbeat(1), 0);
  const started = new Hub("started");
  read(started, heard, 4000);
  const entry = startEntry(started, 4800);
  expect(isUsed(entry, 4900)).toBe(true);
  expect(isUsed(entry, SILENT_AFTER + 2 * LEAST_AGE)).toBe(false);
  const late = startEntry(started, 8000);
  expect(isUsed(late, 8000)).toBe(false);
});

test("heartbeats told on later count from when they came in", () => {
  const heard = new Hub("heard");
  const reader = new Hub("reader");
  heard.mergeUpstream(heartbeat(1), 0);
  read(reader, heard, 0);
  heard.mergeUpstream(heartbeat(2), 1000);
  const reply = heard.answerFeed({ feed: "heard", revision: 1 }, 3000);
  expect(reply.beats).toEqual({ [NAME]: 2 });
  reader.learnFeed(reply, 3000, { reporter: "heard" });
  expect(reader.directory.get(NAME)?.receivedAt).toBe(1000);
});

test("word of a replica that knows less makes no heartbeat older", () => {
  const hub = new Hub("h");
  hub.mergeUpstream(heartbeat(3), 2000);
  const source = { reporter: "other", age: 1900 };
  hub.mergeUpstream(heartbeat(3, { state: "draining" }), 2100, source);
  expect(hub.directory.get(NAME)?.receivedAt).toBe(2000);
});

// A start whose VM's clock had been set back was taken for an earlier one. It
// said that it drains; that was acknowledged and dropped. Once it proved to be
// the living one, it counted as ready.
test("a start that was taken for an earlier one still leaves", () => {
  const hub = new Hub("h");
  hub.mergeUpstream(heartbeat(1, { born: 9000 }), 0);
  hub.mergeUpstream(heartbeat(1, { born: 5000 }), 100);
  hub.mergeUpstream(heartbeat(2, { born: 5000, state: "draining" }), 200);
  const entry = startEntry(hub, 300);
  const earlier = startId(NAME, 5000);
  expect(entry.get(earlier)?.record.state).toBe("draining");
  hub.mergeUpstream(heartbeat(3, { born: 5000 }), 3000);
  hub.mergeUpstream(heartbeat(4, { born: 5000 }), 4000);
  expect(hub.directory.isOver(earlier)).toBe(false);
  expect(hub.directory.get(earlier)?.record.state).toBe("draining");
});

// A replica that had just started was told by name alone that an upstream is
// gone. A second one knew the start that lived under the name, took it for gone
// and told nobody, as it noted the change under the bare name. Where the first
// one was lost, entries never heard of it.
test("a departure by name alone is told on by who knows the start", () => {
  const fresh = new Hub("fresh");
  fresh.removeUpstream(NAME, 9900);
  const knowing = new Hub("knowing");
  knowing.mergeUpstream(heartbeat(7, { born: 5000 }), 1000);
  const before = knowing.revision;
  read(knowing, fresh, 10_000);
  const { upstreams } = knowing.answerFeed(
    { feed: "knowing", revision: before },
    10_000,
  );
  expect(upstreams).toMatchObject([
    { id: startId(NAME, 5000), state: "gone" },
  ]);
});
