import { readFileSync, writeFileSync } from "node:fs";
import { streamChatCompletion, waitFor } from "@heroncleat/local_deployment";
import { LiveDeployment } from "./live_deployment.ts";

const ENGINES = 4;
const live = new LiveDeployment({
  firstPort: 22_000,
  controls: 3,
  entries: 4,
  engines: ENGINES,
  services: 1,
  entrySettings: { upstream_lease: 1500 },
  engine: { decodeInterval: 15, slots: 64 },
  // Each engine generates a different text, so a restarted generation shows.
  upstream: (settings, index) => ({
    ...settings,
    announceInterval: 200,
    engine: { ...settings.engine, salt: `salt-${index}` },
  }),
});

/** Entry whose shutdown time limit is too short to finish its streams. */
const shortLimitEntry = live.deployment.entries[3]!;
const settings = readFileSync(shortLimitEntry.settingsFile, "utf8");
writeFileSync(
  shortLimitEntry.settingsFile,
  settings.replace("[daemon]", "[daemon]\nstop_time_limit = 3000"),
);

beforeAll(() => live.start());
afterAll(() => live.stop());

const TOKENS = 120;

/** Starts streams at all entries. */
function startStreams(
  count: number,
  from = 0,
): {
  responses: ReturnType<typeof streamChatCompletion>[];
  accepted: Promise<unknown>;
} {
  const accepted: Promise<unknown>[] = [];
  const responses = Array.from({ length: count }, (_, n) => {
    let onAccepted = () => {};
    const isAccepted = new Promise<void>((resolve) => onAccepted = resolve);
    const response = streamChatCompletion({
      entries: rotate(live.callerAddresses, n),
      key: live.key,
      body: {
        model: "assistant",
        max_tokens: TOKENS,
        messages: [{ role: "user", content: `A long letter, ${from + n}` }],
      },
      timeout: 30_000,
      onAccepted,
    });
    // A refused request is never accepted; its response settles the race.
    accepted.push(Promise.race([isAccepted, response]));
    return response;
  });
  return { responses, accepted: Promise.all(accepted) };
}

function rotate<Item>(items: readonly Item[], by: number): Item[] {
  const start = by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}

/**
 * Checks that responses are complete, without duplicates, and equal to the
 * stored one.
 */
async function expectComplete(
  responses: Awaited<ReturnType<typeof streamChatCompletion>>[],
  index = 3,
): Promise<void> {
  for (const response of responses) {
    expect(response).toMatchObject({
      status: 200,
      refusal: "",
      misplaced: 0,
    });
    expect(response.finishReason).toMatch(/stop|length/);
    if (response.finishReason === "length") {
      expect(response.pieces).toBe(TOKENS);
    }
  }
  const sample = responses[0]!;
  const path = `/v1/requests/${encodeURIComponent(sample.requestId)}`;
  const heldReply = await live.call(index, path);
  const texts = [...heldReply.body.matchAll(/"content":"([^"]*)"/g)].map((m) =>
    m[1]
  );
  expect(texts.join("")).toBe(sample.text);
}

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe("accepted streams", () => {
  test("survive an announced reclaim with 2 s of notice", async () => {
    const { responses: streams } = startStreams(40);
    await sleep(400);
    const before = await live.callStandIn("engine-2");
    await live.callStandIn("engine-2", { leaveIn: 2000 });
    await sleep(300);
    const afterNotice = await live.callStandIn("engine-2");
    await sleep(1700);
    const beforeReclaim = await live.callStandIn("engine-2");
    live.processes.signal("engine-2", "SIGKILL");
    await expectComplete(await Promise.all(streams));
    expect(before.counts["requests"]).toBeGreaterThan(0);
    // No new requests are sent to the upstream 0.3 s after the notice.
    expect(beforeReclaim.counts["requests"]).toBe(
      afterNotice.counts["requests"],
    );
  });

  test("survive an upstream crash without notice", async () => {
    const { responses: streams, accepted } = startStreams(30, 100);
    await accepted;
    await sleep(200);
    live.processes.signal("engine-3", "SIGKILL");
    await expectComplete(await Promise.all(streams));
  });

  test("survive a crash of their owner without losing or repeating text", async () => {
    const { responses: streams, accepted } = startStreams(32, 200);
    await accepted;
    await sleep(200);
    live.processes.signal("entry-2", "SIGKILL");
    const responses = await Promise.all(streams);
    await expectComplete(responses);
    expect(responses.some((response) => response.reconnects > 0)).toBe(true);
    live.restart("entry-2");
    await waitFor("The return of entry-2", {
      timeout: 15_000,
      check: async () =>
        (await live.call(1, "/v1/health")).status === 200 || undefined,
    });
  });

  test("survive a suspended owner that resumes after a takeover", async () => {
    const { responses: streams, accepted } = startStreams(24, 300);
    await accepted;
    await sleep(200);
    live.processes.signal("entry-3", "SIGSTOP");
    await sleep(5000);
    live.processes.signal("entry-3", "SIGCONT");
    await expectComplete(await Promise.all(streams));
  });

  test("are not interrupted by a planned shutdown", async () => {
    const { responses: streams, accepted } = startStreams(24, 400);
    await accepted;
    await sleep(200);
    live.processes.signal("entry-1", "SIGTERM");
    const listed = await waitFor("Discovery without entry-1", {
      timeout: 2000,
      check: async () => {
        const { body } = await live.call(1, "/v1/entries");
        return body.includes(live.callerAddresses[0]!) ? undefined : body;
      },
    });
    expect(listed).not.toContain(live.callerAddresses[0]);
    const responses = await Promise.all(streams);
    await expectComplete(responses);
    expect(responses.map((response) => response.reconnects)).toEqual(
      responses.map(() => 0),
    );
    expect(await live.processes.waitForExit("entry-1")).toBe(0);
  });

  test("are handed over when a shutdown reaches its time limit", async () => {
    const { responses: streams } = startStreams(16, 500);
    await sleep(400);
    live.processes.signal("entry-4", "SIGTERM");
    const responses = await Promise.all(streams);
    const accepted = responses.filter((response) => response.requestId !== "");
    await expectComplete(accepted, 1);
    expect(accepted.some((response) => response.reconnects > 0)).toBe(true);
    expect(await live.processes.waitForExit("entry-4")).toBe(0);
  });
});
