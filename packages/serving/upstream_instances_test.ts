import fc from "fast-check";
import {
  Hub,
  instanceId,
  UpstreamDirectory,
  type UpstreamRecord,
} from "./mod.ts";

const NAME = "i-7";

function heartbeat(
  born: number,
  sequence: number,
  part: Partial<UpstreamRecord> = {},
): UpstreamRecord {
  return {
    id: instanceId(NAME, born),
    name: NAME,
    born,
    service: "writers",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 4,
    sequence,
    state: "ready",
    isSpot: false,
    leavesIn: undefined,
    ...part,
  };
}

function living(directory: UpstreamDirectory): string[] {
  return [...directory.list()].map(({ record }) =>
    `${record.born} ${record.state} ${record.sequence}`
  );
}

// What callers saw: an upstream that had crashed and started again under its
// name wasn't used until its heartbeats were as many as before, or for a minute
// if it had said that it leaves.
describe("an upstream that starts again under its name", () => {
  test("is a new one at once, though it counts from one", () => {
    const directory = new UpstreamDirectory();
    directory.merge(heartbeat(1000, 40), 0);
    expect(directory.merge(heartbeat(2000, 1), 100)).toBe("changed");
    expect(living(directory)).toEqual(["2000 ready 1"]);
    expect(directory.isReplaced(instanceId(NAME, 1000))).toBe(true);
  });

  test("is there again after it had drained and left", () => {
    const directory = new UpstreamDirectory();
    directory.merge(heartbeat(1000, 40, { state: "draining" }), 0);
    directory.remove(instanceId(NAME, 1000), 100);
    directory.merge(heartbeat(2000, 1), 200);
    expect(living(directory)).toEqual(["2000 ready 1"]);
  });

  test.each(["ready", "draining", "gone"] as const)(
    "isn't touched by late updates of the earlier start, %s",
    (state) => {
      const directory = new UpstreamDirectory();
      directory.merge(heartbeat(1000, 40), 0);
      directory.merge(heartbeat(2000, 1), 100);
      // That an earlier start leaves is kept; nothing else of it is.
      const outcome = state === "ready" ? "late" : "changed";
      expect(directory.merge(heartbeat(1000, 41, { state }), 200)).toBe(
        outcome,
      );
      expect(directory.get(instanceId(NAME, 1000))?.record.state).toBe(state);
      // Two heartbeats that a cut held up come at once.
      directory.merge(heartbeat(1000, 42, { state }), 3000);
      directory.merge(heartbeat(1000, 43, { state }), 3010);
      expect(living(directory)).toEqual(["2000 ready 1"]);
    },
  );

  test("isn't touched by late updates of an earlier start that nobody knew", () => {
    const directory = new UpstreamDirectory();
    directory.merge(heartbeat(2000, 1), 100);
    directory.merge(heartbeat(1000, 41), 200);
    expect(living(directory)).toEqual(["2000 ready 1"]);
  });

  test("lives at another address, with a clock that was set back", () => {
    const directory = new UpstreamDirectory();
    directory.merge(heartbeat(5000, 40), 0);
    const moved = { address: "10.0.0.2:80" };
    for (const [at, sequence] of [[1500, 1], [2700, 2], [3900, 3]] as const) {
      directory.merge(heartbeat(3000, sequence, moved), at);
    }
    expect(living(directory)).toEqual(["3000 ready 3"]);
    // The one it was taken for is seen again after all.
    directory.merge(heartbeat(5000, 41), 4000);
    expect(living(directory)).toEqual(["5000 ready 41"]);
  });

  test("leaves by the birth that its departure names", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(heartbeat(1000, 40), 0);
    hub.mergeUpstream(heartbeat(2000, 1), 100);
    hub.removeUpstream(NAME, 200, 1000);
    expect(living(hub.directory)).toEqual(["2000 ready 1"]);
    hub.removeUpstream(NAME, 300, 2000);
    expect(living(hub.directory)).toEqual(["2000 gone 2"]);
  });

  test("isn't removed by a departure of before that names no birth", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(heartbeat(1000, 40), 0);
    hub.mergeUpstream(heartbeat(2000, 1), 100);
    expect(hub.removeUpstream(NAME, 200)).toBeUndefined();
    expect(living(hub.directory)).toEqual(["2000 ready 1"]);
    hub.mergeUpstream(heartbeat(2000, 8), 9000);
    expect(hub.removeUpstream(NAME, 9100)).toBe(instanceId(NAME, 2000));
    expect(living(hub.directory)).toEqual(["2000 gone 9"]);
  });

  test("is sent to entries alone, and not the start before it", () => {
    const hub = new Hub("f");
    hub.mergeUpstream(heartbeat(1000, 40), 0);
    hub.mergeUpstream(heartbeat(2000, 1), 100);
    const { upstreams } = hub.createFeedReply({ feed: "", revision: 0 }, 200);
    expect(upstreams.map(({ id }) => id)).toEqual([instanceId(NAME, 2000)]);
  });

  test("ends as the last born, in whatever order updates come within 2 s", () => {
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
      const lives = [...directory.list()].map(({ record }) => record.born);
      expect(lives).toEqual(steps.length === 0 ? [] : [last]);
    }));
  });
});
