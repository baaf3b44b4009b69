import fc from "fast-check";
import {
  Hub,
  instanceId,
  UpstreamDirectory,
  type UpstreamRecord,
} from "./mod.ts";
import { testRecord } from "./test_record.ts";

const NAME = "i-7";

function heartbeat(
  born: number,
  sequence: number,
  part: Partial<UpstreamRecord> = {},
): UpstreamRecord {
  return testRecord({
    id: instanceId(NAME, born),
    name: NAME,
    born,
    sequence,
    ...part,
  });
}

function describeCurrent(directory: UpstreamDirectory): string[] {
  return [...directory.list()].map(({ record }) =>
    `${record.born} ${record.state} ${record.sequence}`
  );
}

// Guards against ignoring a restarted upstream until its heartbeat sequence
// exceeds that of the earlier instance, or while that one's departure is
// recorded.
describe("an upstream that restarts under its name", () => {
  test("is a new instance at once, though its sequence starts at one", () => {
    const directory = new UpstreamDirectory();
    directory.merge(heartbeat(1000, 40), 0);
    expect(directory.merge(heartbeat(2000, 1), 100)).toBe("changed");
    expect(describeCurrent(directory)).toEqual(["2000 ready 1"]);
    expect(directory.isReplaced(instanceId(NAME, 1000))).toBe(true);
  });

  test("is ready again after it had drained and departed", () => {
    const directory = new UpstreamDirectory();
    directory.merge(heartbeat(1000, 40, { state: "draining" }), 0);
    directory.remove(instanceId(NAME, 1000), 100);
    directory.merge(heartbeat(2000, 1), 200);
    expect(describeCurrent(directory)).toEqual(["2000 ready 1"]);
  });

  test.each(["ready", "draining", "gone"] as const)(
    "isn't affected by late updates of the earlier instance, %s",
    (state) => {
      const directory = new UpstreamDirectory();
      directory.merge(heartbeat(1000, 40), 0);
      directory.merge(heartbeat(2000, 1), 100);
      // Only the departure of an earlier instance is recorded.
      const outcome = state === "ready" ? "late" : "changed";
      expect(directory.merge(heartbeat(1000, 41, { state }), 200)).toBe(
        outcome,
      );
      expect(directory.get(instanceId(NAME, 1000))?.record.state).toBe(state);
      // Two heartbeats that a partition delayed arrive at once.
      directory.merge(heartbeat(1000, 42, { state }), 3000);
      directory.merge(heartbeat(1000, 43, { state }), 3010);
      expect(describeCurrent(directory)).toEqual(["2000 ready 1"]);
    },
  );

  test("isn't affected by late updates of an unknown earlier instance", () => {
    const directory = new UpstreamDirectory();
    directory.merge(heartbeat(2000, 1), 100);
    directory.merge(heartbeat(1000, 41), 200);
    expect(describeCurrent(directory)).toEqual(["2000 ready 1"]);
  });

  test("is the current instance with a new address and a clock set back", () => {
    const directory = new UpstreamDirectory();
    directory.merge(heartbeat(5000, 40), 0);
    const moved = { address: "10.0.0.2:80" };
    for (const [at, sequence] of [[1500, 1], [2700, 2], [3900, 3]] as const) {
      directory.merge(heartbeat(3000, sequence, moved), at);
    }
    expect(describeCurrent(directory)).toEqual(["3000 ready 3"]);
    // The instance that was replaced is seen again.
    directory.merge(heartbeat(5000, 41), 4000);
    expect(describeCurrent(directory)).toEqual(["5000 ready 41"]);
  });

  // Guards against requests that are suspected as their upstream seems to have
  // crashed.
  test("hasn't ended for late updates of an instance that was known before", () => {
    const directory = new UpstreamDirectory();
    const [former, running] = [1000, 2000].map((born) =>
      instanceId(NAME, born)
    );
    directory.merge(heartbeat(1000, 40), 0);
    directory.merge(heartbeat(2000, 1), 1000);
    expect(directory.hasRestarted(former!)).toBe(true);
    directory.merge(heartbeat(1000, 41), 4000);
    directory.merge(heartbeat(1000, 42), 4500);
    expect(directory.isReplaced(running!)).toBe(true);
    expect(directory.hasRestarted(running!)).toBe(false);
    directory.merge(heartbeat(2000, 5), 5000);
    expect(directory.hasRestarted(former!)).toBe(true);
  });

  test("departs if the departure names its start time", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(heartbeat(1000, 40), 0);
    hub.mergeUpstream(heartbeat(2000, 1), 100);
    hub.removeUpstream(NAME, 200, 1000);
    expect(describeCurrent(hub.directory)).toEqual(["2000 ready 1"]);
    hub.removeUpstream(NAME, 300, 2000);
    expect(describeCurrent(hub.directory)).toEqual(["2000 gone 2"]);
  });

  test("isn't removed by an earlier departure without a start time", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(heartbeat(1000, 40), 0);
    hub.mergeUpstream(heartbeat(2000, 1), 100);
    expect(hub.removeUpstream(NAME, 200)).toBeUndefined();
    expect(describeCurrent(hub.directory)).toEqual(["2000 ready 1"]);
    hub.mergeUpstream(heartbeat(2000, 8), 9000);
    expect(hub.removeUpstream(NAME, 9100)).toBe(instanceId(NAME, 2000));
    expect(describeCurrent(hub.directory)).toEqual(["2000 gone 9"]);
  });

  test("is sent to entries without the instance before it", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(heartbeat(1000, 40), 0);
    hub.mergeUpstream(heartbeat(2000, 1), 100);
    const { upstreams } = hub.createFeedReply({ feed: "", revision: 0 }, 200);
    expect(upstreams.map(({ id }) => id)).toEqual([instanceId(NAME, 2000)]);
  });

  test("is the instance that started last, in any order of updates within 2 s", () => {
    const updates = fc.record({
      born: fc.constantFrom(1000, 2000, 3000),
      sequence: fc.nat(9),
    });
    fc.assert(fc.property(fc.array(updates, { maxLength: 30 }), (steps) => {
      const directory = new UpstreamDirectory();
      let now = 0;
      for (const { born, sequence } of steps) {
        now += 60;
        directory.merge(heartbeat(born, sequence), now);
      }
      const last = Math.max(...steps.map(({ born }) => born));
      const current = [...directory.list()].map(({ record }) => record.born);
      expect(current).toEqual(steps.length === 0 ? [] : [last]);
    }));
  });
});
