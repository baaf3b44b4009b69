import { setTimeout as pause } from "node:timers/promises";
import { RouteKind, type ServingDocument } from "@heroncleat/serving";
import { beginsStream } from "./begins_stream.ts";
import { EntryProcess } from "./entry_process.ts";
import { type PlayedStream, playStream } from "./play_stream.ts";
import { StreamingUpstream } from "./streaming_upstream.ts";
import { testDocument } from "./test_document.ts";
import { TestGroup } from "./test_group.ts";
import { waitUntil } from "./wait_until.ts";

const FIRST_PORT = 30_600;
const ENTRY_COUNT = 2;
const UPSTREAMS_PER_VERSION = 2;
const EVENT_COUNT = 30;
const EVENT_PAUSE_MS = 200;
/** Streams that begin at each entry in a second. */
const STREAM_RATE = 100;
const STREAM_PAUSE_MS = 10;
/** Less than a stream takes, so that the kill cuts all of them. */
const LEAD_TIME_MS = 5000;
const DOWN_TIME_MS = 1000;
const RETURN_DELAY_MS = 1000;
const MAX_TRIES = 8;
const SLOTS = 2000;
/** Time in which new versions are known and admitted everywhere. */
const SETTLE_TIME_MS = 2500;
/** Share of the streams that the kill has to cut. */
const MIN_CUT_SHARE = 0.8;
const MIN_RESUMED_SHARE = 0.95;

const group = new TestGroup(FIRST_PORT, [true, true, true]);
const entries = Array.from(
  { length: ENTRY_COUNT },
  (_, index) => new EntryProcess(FIRST_PORT, index),
);
const upstreams: StreamingUpstream[] = [];
const document: ServingDocument = {
  ...testDocument(1),
  routes: [{
    ...testDocument(1).routes[0]!,
    kind: RouteKind.streaming,
    isResumable: true,
    timeout: 8000,
    maxAttempts: 3,
  }],
  services: [{ ...testDocument(1).services[0]!, maxConnections: 5000 }],
};
const listEntries = () => entries.map((_, index) => group.addressOf(index));

beforeAll(async () => {
  await group.start({ entries: 0 });
  await waitUntil(() => group.publish(0, document));
  for (const version of ["v1", "v2"]) {
    for (let index = 0; index < UPSTREAMS_PER_VERSION; index += 1) {
      const upstream = new StreamingUpstream({
        name: `${version}-${index}`,
        version,
        port: FIRST_PORT + 40 + upstreams.length,
        eventCount: EVENT_COUNT,
        eventPause: EVENT_PAUSE_MS,
        slots: SLOTS,
        breaksAfter: () => undefined,
        report: (record) =>
          void group.hubs[index]!.hub?.mergeUpstream(record).catch(() => {}),
      });
      upstreams.push(upstream);
      await upstream.start();
    }
  }
  for (const entry of entries) entry.start();
  for (const entry of listEntries()) await waitUntil(() => beginsStream(entry));
  await pause(SETTLE_TIME_MS);
}, 60_000);

afterAll(async () => {
  for (const upstream of upstreams) upstream.stop();
  await Promise.all(entries.map((entry) => entry.kill()));
  await group.stop();
});

/** Begins streams at a constant rate, then kills all entries. */
async function playKill(): Promise<PlayedStream[]> {
  const streams: Promise<PlayedStream>[] = [];
  const startedAt = performance.now();
  let runFor = 0;
  while (runFor < LEAD_TIME_MS) {
    const due = runFor / 1000 * STREAM_RATE * ENTRY_COUNT;
    while (streams.length < due) {
      streams.push(playStream(listEntries, {
        resumes: true,
        returnDelay: RETURN_DELAY_MS,
        maxTries: MAX_TRIES,
      }));
    }
    await pause(STREAM_PAUSE_MS);
    runFor = performance.now() - startedAt;
  }
  await Promise.all(entries.map((entry) => entry.kill()));
  await pause(DOWN_TIME_MS);
  for (const entry of entries) {
    entry.start();
  }
  return await Promise.all(streams);
}

// Guards against streams that nobody can resume once all entries have ended, as
// more began than entries store.
test(
  "most streams go on after a kill of all entries if many began",
  async () => {
    const streams = await playKill();
    const resumed = streams.filter(({ tries }) =>
      tries[0]!.events.length > 0 && !tries[0]!.isWhole
    );
    const wentOn = resumed.filter(({ tries }) =>
      tries.slice(1).some(({ events }) => events.length > 0)
    );
    expect(resumed.length).toBeGreaterThan(MIN_CUT_SHARE * streams.length);
    expect(streams.filter(({ versions }) => versions.size > 1)).toEqual([]);
    expect(wentOn.length / resumed.length)
      .toBeGreaterThanOrEqual(MIN_RESUMED_SHARE);
  },
  60_000,
);
