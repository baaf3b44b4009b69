import { Hub } from "./hub.ts";
import { instanceId } from "./instance_id.ts";
import { UpstreamBalancer } from "./upstream_balancer.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamRecord } from "./upstream_record.ts";
import { testRecord } from "./test_record.ts";

const NAME = "u1";
/**
 * Time without updates after which an upstream isn't used; see
 * upstream_availability.ts.
 */
const UPSTREAM_TIMEOUT_MS = 5000;
/** Smaller ages are left out of replies, at each of two hops. */
const MIN_REPORTED_AGE_MS = 500;

function heartbeat(
  sequence: number,
  changes: Partial<UpstreamRecord> = {},
): UpstreamRecord {
  const born = changes.born;
  return testRecord({
    id: instanceId(NAME, born),
    name: NAME,
    service: "desk",
    sequence,
    ...changes,
  });
}

/** One replica reads all of another one's feed. */
function readFeed(reader: Hub, from: Hub, now: number): void {
  const reply = from.createFeedReply({ feed: "", revision: 0 }, now);
  reader.mergeFeed(JSON.parse(JSON.stringify(reply)), now, {
    reporter: from.feed,
  });
}

/**
 * The directory of an entry that has just started and reads a replica's feed.
 */
function startEntry(from: Hub, now: number): UpstreamDirectory {
  const directory = new UpstreamDirectory();
  const reply = from.createFeedReply({ feed: "", revision: 0 }, now);
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

// Guards against measuring an upstream's silence from when a process received
// its record: processes that start later would use an upstream that is long
// gone.
test("an unresponsive upstream times out at the same moment in new processes", () => {
  const source = new Hub("source");
  source.mergeUpstream(heartbeat(1), 0);
  const restarted = new Hub("restarted");
  readFeed(restarted, source, 4000);
  const entry = startEntry(restarted, 4800);
  expect(isUsed(entry, 4900)).toBe(true);
  expect(isUsed(entry, UPSTREAM_TIMEOUT_MS + 2 * MIN_REPORTED_AGE_MS)).toBe(
    false,
  );
  const late = startEntry(restarted, 8000);
  expect(isUsed(late, 8000)).toBe(false);
});

test("forwarded heartbeats count from when they were received", () => {
  const source = new Hub("source");
  const reader = new Hub("reader");
  source.mergeUpstream(heartbeat(1), 0);
  readFeed(reader, source, 0);
  source.mergeUpstream(heartbeat(2), 1000);
  const reply = source.createFeedReply({ feed: "source", revision: 1 }, 3000);
  expect(reply.beats).toEqual({ [NAME]: 2 });
  reader.mergeFeed(reply, 3000, { reporter: "source" });
  expect(reader.directory.get(NAME)?.receivedAt).toBe(1000);
});

test("an older report of another replica doesn't age a heartbeat", () => {
  const hub = new Hub("h");
  hub.mergeUpstream(heartbeat(3), 2000);
  const source = { reporter: "other", age: 1900 };
  hub.mergeUpstream(heartbeat(3, { state: "draining" }), 2100, source);
  expect(hub.directory.get(NAME)?.receivedAt).toBe(2000);
});

// Guards against dropping the departure of an instance that has an earlier
// start time because its VM's clock was set back: it would count as ready once
// it is the current instance.
test("the departure of an instance that isn't the current one is kept", () => {
  const hub = new Hub("h");
  hub.mergeUpstream(heartbeat(1, { born: 9000 }), 0);
  hub.mergeUpstream(heartbeat(1, { born: 5000 }), 100);
  hub.mergeUpstream(heartbeat(2, { born: 5000, state: "draining" }), 200);
  const entry = startEntry(hub, 300);
  const earlier = instanceId(NAME, 5000);
  expect(entry.get(earlier)?.record.state).toBe("draining");
  hub.mergeUpstream(heartbeat(3, { born: 5000 }), 3000);
  hub.mergeUpstream(heartbeat(4, { born: 5000 }), 4000);
  expect(hub.directory.isReplaced(earlier)).toBe(false);
  expect(hub.directory.get(earlier)?.record.state).toBe("draining");
});

// Guards against recording a departure that names no start time under the bare
// name: the replica would mark the instance as gone but not forward its
// departure.
test("a departure without a start time is forwarded with the instance ID", () => {
  const restarted = new Hub("restarted");
  restarted.removeUpstream(NAME, 9900);
  const informed = new Hub("informed");
  informed.mergeUpstream(heartbeat(7, { born: 5000 }), 1000);
  const before = informed.revision;
  readFeed(informed, restarted, 10_000);
  const { upstreams } = informed.createFeedReply(
    { feed: "informed", revision: before },
    10_000,
  );
  expect(upstreams).toMatchObject([
    { id: instanceId(NAME, 5000), state: "gone" },
  ]);
});

describe("a departure that names no start, taken in by a replica that knows the earlier one only", () => {
  /** The earlier start is known to both replicas, the later to one. */
  function restartAndDepart() {
    const [first, second] = [new Hub("h1"), new Hub("h2")];
    for (const hub of [first, second]) {
      hub.mergeUpstream(heartbeat(1, { born: 1000 }), 0);
    }
    first.mergeUpstream(heartbeat(1, { born: 9000 }), 10_000);
    second.removeUpstream(NAME, 10_100);
    const directory = new UpstreamDirectory();
    for (const from of [second, first]) {
      const reply = from.createFeedReply({ feed: "", revision: 0 }, 10_300);
      for (const record of reply.upstreams) {
        const age = reply.ages?.[record.id] ?? 0;
        directory.merge(record, 10_300, { reporter: from.feed, age });
      }
    }
    return directory;
  }

  test("is about the later one too, as far as is known", () => {
    expect(isUsed(restartAndDepart(), 10_400)).toBe(false);
  });

  test("wasn't about it if it sends another heartbeat", () => {
    const directory = restartAndDepart();
    directory.merge(heartbeat(2, { born: 9000 }), 11_200);
    expect(isUsed(directory, 11_300)).toBe(true);
  });
});
