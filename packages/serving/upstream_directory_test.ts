import fc from "fast-check";
import { UpstreamDirectory } from "./mod.ts";
import { testRecord } from "./test_record.ts";

const record = testRecord();

describe("the upstream directory", () => {
  test("ignores late heartbeats", () => {
    const directory = new UpstreamDirectory();
    directory.merge({ ...record, sequence: 5, zone: "b" }, 0);
    expect(directory.merge({ ...record, sequence: 4 }, 10)).toBe("late");
    expect(directory.get("u1")?.record.zone).toBe("b");
    expect(directory.get("u1")?.receivedAt).toBe(0);
  });

  test("tells a heartbeat from a change", () => {
    const directory = new UpstreamDirectory();
    expect(directory.merge(record, 0)).toBe("changed");
    expect(directory.merge({ ...record, sequence: 2 }, 10)).toBe("received");
    const draining = { ...record, sequence: 3, state: "draining" as const };
    expect(directory.merge(draining, 20)).toBe("changed");
    directory.refresh("u1", 30, { sequence: 4, reporter: "", age: 0 });
    directory.refresh("unknown", 30, { sequence: 4, reporter: "", age: 0 });
    expect(directory.get("u1")).toMatchObject({
      receivedAt: 30,
      record: { sequence: 4, state: "draining" },
    });
    directory.refresh("u1", 40, { sequence: 2, reporter: "", age: 0 });
    expect(directory.get("u1")?.receivedAt).toBe(30);
    expect(directory.get("unknown")).toBeUndefined();
  });

  test("accepts a draining state from a late heartbeat and keeps it", () => {
    const directory = new UpstreamDirectory();
    directory.merge({ ...record, sequence: 5 }, 0);
    directory.merge({ ...record, sequence: 4, state: "draining" }, 1);
    directory.merge({ ...record, sequence: 6 }, 2);
    expect(directory.get("u1")?.record.state).toBe("draining");
  });

  test("never makes a departed upstream ready again, in any order of updates", () => {
    const updates = fc.record({
      sequence: fc.nat(20),
      state: fc.constantFrom("ready" as const, "draining" as const),
    });
    fc.assert(
      fc.property(fc.array(updates), fc.array(updates), (before, after) => {
        const directory = new UpstreamDirectory();
        for (const heartbeat of before) {
          directory.merge({ ...record, ...heartbeat }, 0);
        }
        directory.remove("u1", 1);
        for (const heartbeat of after) {
          directory.merge({ ...record, ...heartbeat }, 2);
        }
        expect(directory.get("u1")?.record.state).toBe("gone");
      }),
    );
  });

  test("reaches the same state in any order of updates, also repeated ones", () => {
    const beats = fc.array(
      fc.record({
        sequence: fc.nat(8),
        state: fc.constantFrom("ready" as const, "draining" as const),
      }),
      { minLength: 1 },
    );
    fc.assert(fc.property(beats, (list) => {
      const states = [list, list.toReversed(), [...list, ...list]].map(
        (order) => {
          const directory = new UpstreamDirectory();
          for (const heartbeat of order) {
            directory.merge({ ...record, ...heartbeat }, 0);
          }
          return directory.get("u1")?.record.state;
        },
      );
      expect(new Set(states).size).toBe(1);
    }));
  });

  test("ignores a late heartbeat once a later instance has its address", () => {
    const directory = new UpstreamDirectory();
    directory.merge({ ...record, sequence: 3 }, 0);
    const later = { ...record, id: "u2", name: "u2", sequence: 1 };
    directory.merge(later, 4000);
    // Sent before the crash and delayed by a partition.
    expect(directory.merge({ ...record, sequence: 4 }, 4500)).toBe("late");
    directory.refresh("u1", 4600, { sequence: 5, reporter: "", age: 0 });
    expect(directory.get("u1")?.receivedAt).toBe(0);
    expect(directory.get("u2")?.record.state).toBe("ready");
    // A draining state is accepted from any instance.
    const draining = { ...record, sequence: 6, state: "draining" as const };
    expect(directory.merge(draining, 4700)).toBe("changed");
  });

  test("accepts an instance again two heartbeats after a late one replaced it", () => {
    const directory = new UpstreamDirectory();
    directory.merge(record, 0);
    directory.merge({ ...record, id: "old", name: "old", sequence: 40 }, 500);
    expect(directory.merge({ ...record, sequence: 2 }, 1200)).toBe("late");
    expect(directory.merge({ ...record, sequence: 4 }, 3600)).not.toBe("late");
    expect(directory.get("u1")?.receivedAt).toBe(3600);
  });
});
