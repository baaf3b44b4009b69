import { StreamOrigins } from "./stream_origins.ts";

const known = (version: string, expiresAt = 1000) => ({
  origin: { service: "desk", version },
  entry: "entry-1",
  begunAt: 0,
  expiresAt,
});

test("an origin is known until its stream can't be resumed any more", () => {
  const origins = new StreamOrigins();
  origins.record("s", known("v1"));
  expect(origins.get("s", 999)?.origin).toEqual(known("v1").origin);
  expect(origins.get("s", 1000)).toBeUndefined();
  origins.expire(1000);
  expect(origins.size).toBe(0);
});

test("a stream that goes on is known for longer, with its first event's time", () => {
  const origins = new StreamOrigins();
  origins.record("s", known("v1"));
  origins.record("s", { ...known("v1", 3000), entry: "entry-2", begunAt: 500 });
  expect(origins.get("s", 2000)).toEqual(known("v1", 3000));
});

test("two origins of one stream contradict each other, and neither counts", () => {
  const origins = new StreamOrigins();
  origins.record("s", known("v1"));
  origins.record("s", known("v2"));
  expect(origins.get("s", 10)).toBeUndefined();
  origins.record("s", known("v1"));
  expect(origins.get("s", 10)).toBeUndefined();
  origins.expire(1000);
  origins.record("s", { ...known("v2", 5000), begunAt: 1000 });
  expect(origins.get("s", 2000)?.origin.version).toBe("v2");
});

test("the oldest records are dropped beyond the limit", () => {
  const origins = new StreamOrigins({ maxRecords: 2 });
  for (const stream of ["a", "b", "c"]) {
    origins.record(stream, known("v1"));
  }
  expect(origins.size).toBe(2);
  expect(origins.get("a", 10)).toBeUndefined();
  expect(origins.get("c", 10)).toBeDefined();
});
