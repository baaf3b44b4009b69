import { byteLimits } from "../../common/byte_limits.ts";
import { StreamLimits } from "./stream_limits.ts";

const KIB = 1024;
const NOTHING = { passedOn: 0, isProgress: false, lineBytes: 0, heldBytes: 0 };
const HOUR_MS = 3_600_000;

// Guards against limits that end a slow stream for its keep-alives.
test("keep-alives may go on for hours without an event", () => {
  const limits = new StreamLimits(0);
  for (let now = 0; now < HOUR_MS; now += 100) {
    expect(limits.check({ ...NOTHING, passedOn: KIB }, now)).toBeUndefined();
  }
});

test("bytes that are no progress are limited", () => {
  const limits = new StreamLimits(0);
  let passedOn = 0;
  while (limits.check({ ...NOTHING, passedOn: 64 * KIB }, 10) === undefined) {
    passedOn += 64 * KIB;
  }
  expect(passedOn).toBe(byteLimits.withoutProgress);
});

test("an event that lets the stream go on permits as many again", () => {
  const limits = new StreamLimits(0);
  const passedOn = byteLimits.withoutProgress / 2;
  for (let round = 0; round < 10; round += 1) {
    for (const isProgress of [false, false, true]) {
      const read = { ...NOTHING, passedOn, isProgress };
      expect(limits.check(read, 0)).toBeUndefined();
    }
  }
});

// Guards against an endless stream that is excused for the time before it.
test("time without any bytes isn't saved up", () => {
  const limits = new StreamLimits(0);
  const passedOn = byteLimits.withoutProgress;
  expect(limits.check({ ...NOTHING, passedOn }, HOUR_MS)).toBeUndefined();
  expect(limits.check({ ...NOTHING, passedOn: KIB }, HOUR_MS)).toEqual({
    shape: "without_progress",
    bytes: byteLimits.withoutProgress + KIB,
    limit: byteLimits.withoutProgress,
  });
});

test("unfinished lines and events are limited", () => {
  const { line, event } = byteLimits;
  const limits = new StreamLimits(0);
  const read = { ...NOTHING, isProgress: true };
  expect(limits.check({ ...read, lineBytes: line, heldBytes: event }, 0))
    .toBeUndefined();
  expect(limits.check({ ...read, lineBytes: line + 1 }, 0))
    .toEqual({ shape: "line", bytes: line + 1, limit: line });
  expect(limits.check({ ...read, heldBytes: event + 1 }, 0))
    .toEqual({ shape: "event", bytes: event + 1, limit: event });
});
