import { Hub } from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import { FeedReader } from "./feed_reader.ts";

const silentLog = { debug() {}, info() {}, warn() {}, error() {} };

/** Counts the reads of each peer's feed within three seconds. */
async function countReads(
  peers: number,
  isUrgent: (now: number) => boolean,
): Promise<number> {
  let now = 0;
  let reads = 0;
  const source = new Hub("source");
  const reader = new FeedReader({
    hub: new Hub("reader"),
    clock: { now: () => now, steady: () => now, wall: () => now } as never,
    pool: {
      call: () => {
        reads += 1;
        return Promise.resolve(
          source.createFeedReply({ feed: "", revision: 0, reads: [] }, now),
        );
      },
    } as unknown as PeerPool,
    log: silentLog,
    isUrgent: () => isUrgent(now),
    peers: () => Array.from({ length: peers }, (_, index) => `${index}:1`),
  });
  for (; now < 3000; now += 50) {
    await jest.advanceTimersByTimeAsync(50);
  }
  reader.stop();
  return reads / peers;
}

beforeEach(() => {
  jest.useFakeTimers();
});

afterEach(() => {
  jest.useRealTimers();
});

test("a standby among many replicas reads their feeds every 600 ms", async () => {
  expect(await countReads(7, () => false)).toBe(5);
});

test("a replica that entries rely on reads feeds every 200 ms, however many", async () => {
  expect(await countReads(7, () => true)).toBe(15);
});

test("few replicas read each other's feeds every 200 ms", async () => {
  expect(await countReads(4, () => false)).toBe(15);
});

test("a standby that becomes the leader reads more often at once", async () => {
  const reads = await countReads(7, (now) => now >= 1500);
  expect(reads).toBeGreaterThanOrEqual(9);
});
