import { UpstreamDirectory, type UpstreamRecord } from "./mod.ts";
import { testRecord } from "./test_record.ts";

const READY = testRecord({ id: "desk-1", name: "desk-1", service: "desk" });

function draining(sequence: number): UpstreamRecord {
  return { ...READY, sequence, state: "draining" };
}

const FORWARDED = { reporter: "10.0.1.1:80", age: 0 };

function drainingSince(directory: UpstreamDirectory): number | undefined {
  return directory.get(READY.id)?.drainingSince;
}

describe("the start of a drain", () => {
  test("is the first report that follows a ready heartbeat", () => {
    const directory = new UpstreamDirectory();
    directory.merge(READY, 0);
    directory.merge(draining(2), 1200);
    directory.merge(draining(3), 2400);
    expect(drainingSince(directory)).toBe(1200);
  });

  test("is the last ready heartbeat if reports in between went elsewhere", () => {
    const directory = new UpstreamDirectory();
    directory.merge(READY, 100);
    directory.merge(draining(4), 3700);
    expect(drainingSince(directory)).toBe(100);
  });

  // Guards against streams sent after the drain timeout by an entry that hears
  // of a drain from a replica alone that got the report late.
  test.each([["itself", {}, 300], ["another process", FORWARDED, -1000]])(
    "isn't when a report arrives that was held up, after a heartbeat from %s",
    (_name, source, start) => {
      const directory = new UpstreamDirectory();
      directory.merge(READY, 300, { reporter: "", age: 0, ...source });
      directory.merge(draining(2), 3700);
      expect(drainingSince(directory)).toBe(start);
    },
  );

  test("may be earlier than a heartbeat that another process passed on", () => {
    const directory = new UpstreamDirectory();
    directory.merge(READY, 2000, FORWARDED);
    directory.merge(draining(4), 3700);
    expect(drainingSince(directory)).toBe(700);
  });

  test.each([
    ["of which nothing was known before", undefined, draining(5)],
    [
      "whose report came behind a later heartbeat",
      { ...READY, sequence: 6 },
      draining(5),
    ],
  ])("isn't known of an upstream %s", (_name, before, report) => {
    const directory = new UpstreamDirectory();
    if (before !== undefined) {
      directory.merge(before, 0);
    }
    directory.merge(report, 50);
    expect(directory.get(READY.id)?.record.state).toBe("draining");
    expect(drainingSince(directory)).toBeUndefined();
  });

  test("is taken from the process that has seen it, the earliest of several", () => {
    const directory = new UpstreamDirectory();
    directory.merge(READY, 0, FORWARDED);
    directory.merge(draining(2), 2000, FORWARDED);
    expect(drainingSince(directory)).toBeUndefined();
    directory.merge(draining(3), 2100, { ...FORWARDED, drainAge: 600 });
    directory.merge(draining(4), 2200, { ...FORWARDED, drainAge: 900 });
    directory.merge(draining(5), 2300, { ...FORWARDED, drainAge: 100 });
    expect(drainingSince(directory)).toBe(1300);
  });

  // Guards against a bound that is too late, and against none where one is known.
  test.each([["the same heartbeat", 3], ["an earlier one", 2]])(
    "is corrected by another process that has seen %s",
    (_name, sequence) => {
      const directory = new UpstreamDirectory();
      directory.merge(READY, 0, FORWARDED);
      directory.merge(draining(3), 2000, FORWARDED);
      const merge = (now: number, drainAge: number) =>
        directory.merge(draining(sequence), now, { ...FORWARDED, drainAge });
      expect(merge(2100, 600)).toBe("changed");
      expect(drainingSince(directory)).toBe(1500);
      expect(merge(2200, 1000)).toBe("changed");
      expect(drainingSince(directory)).toBe(1200);
      expect(merge(2300, 1110)).toBe("late");
      expect(merge(2400, 100)).toBe("late");
      expect(drainingSince(directory)).toBe(1200);
    },
  );

  test("isn't later than what the upstream stated to this process itself", () => {
    const stated = new Map<string, number>();
    const directory = new UpstreamDirectory((id) => stated.get(id));
    directory.merge(READY, 0, FORWARDED);
    stated.set(READY.id, 500);
    directory.applyLeaving(READY.id);
    expect(drainingSince(directory)).toBeUndefined();
    directory.merge(draining(2), 2000, { ...FORWARDED, drainAge: 100 });
    expect(drainingSince(directory)).toBe(500);
  });
});
