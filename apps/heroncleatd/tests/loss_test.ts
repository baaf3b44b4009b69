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
  // Every engine would write another text, so a restart would show.
  upstream: (settings, place) => ({
    ...settings,
    announceInterval: 200,
    engine: { ...settings.engine, salt: `salt-${place}` },
  }),
});

/** Entry 4 gets too little time to finish its streams when it stops. */
const hurried = live.deployment.entries[3]!;
const settings = readFileSync(hurried.settingsFile, "utf8");
writeFileSync(
  hurried.settingsFile,
  settings.replace("[daemon]", "[daemon]\nstop_time_limit = 3000"),
);

beforeAll(() => live.start());
afterAll(() => live.stop());

const TOKENS = 120;

/** Starts streams at all entries and collects their answers. */
function startStreams(
  count: number,
  from = 0,
): {
  answers: ReturnType<typeof streamChatCompletion>[];
  accepted: Promise<unknown>;
} {
  const accepted: Promise<unknown>[] = [];
  const answers = Array.from({ length: count }, (_, n) => {
    let onAccepted = () => {};
    const isAccepted = new Promise<void>((resolve) => onAccepted = resolve);
    const answer = streamChatCompletion({
      entries: rotate(live.callers, n),
      key: live.key,
      body: {
        model: "assistant",
        max_tokens: TOKENS,
        messages: [{ role: "user", content: `A long letter, ${from + n}` }],
      },
      timeout: 30_000,
      onAccepted,
    });
    // One that is refused is never accepted; its answer reports.
    accepted.push(Promise.race([isAccepted, answer]));
    return answer;
  });
  return { answers, accepted: Promise.all(accepted) };
}

function rotate<Item>(items: readonly Item[], by: number): Item[] {
  const start = by % items.length;
  return [...items.slice(start), ...items.slice(0, start)];
}

/** Whole answers, each token once, and equal to what is held for it. */
async function expectWhole(
  answers: Awaited<ReturnType<typeof streamChatCompletion>>[],
  place = 3,
): Promise<void> {
  for (const answer of answers) {
    expect(answer).toMatchObject({
      status: 200,
      refusal: "",
      misplaced: 0,
    });
    expect(answer.finishReason).toMatch(/stop|length/);
    if (answer.finishReason === "length") {
      expect(answer.pieces).toBe(TOKENS);
    }
  }
  const sample = answers[0]!;
  const path = `/v1/requests/${encodeURIComponent(sample.requestId)}`;
  const held = await live.call(place, path);
  const texts = [...held.body.matchAll(/"content":"([^"]*)"/g)].map((m) =>
    m[1]
  );
  expect(texts.join("")).toBe(sample.text);
}

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

describe("accepted streams", () => {
  test("survive an announced reclaim with 2 s of notice", async () => {
    const { answers: streams } = startStreams(40);
    await sleep(400);
    const before = await live.standIn("engine-2");
    await live.standIn("engine-2", { leaveIn: 2000 });
    await sleep(300);
    const reported = await live.standIn("engine-2");
    await sleep(1700);
    const last = await live.standIn("engine-2");
    live.processes.signal("engine-2", "SIGKILL");
    await expectWhole(await Promise.all(streams));
    expect(before.counts["requests"]).toBeGreaterThan(0);
    // Nothing new was sent there from 0.3 s after the notice on.
    expect(last.counts["requests"]).toBe(reported.counts["requests"]);
  });

  test("survive an upstream that dies without a word", async () => {
    const { answers: streams, accepted } = startStreams(30, 100);
    await accepted;
    await sleep(200);
    live.processes.signal("engine-3", "SIGKILL");
    await expectWhole(await Promise.all(streams));
  });

  test("survive their owner's sudden death, with the text seen so far", async () => {
    const { answers: streams, accepted } = startStreams(32, 200);
    await accepted;
    await sleep(200);
    live.processes.signal("entry-2", "SIGKILL");
    const answers = await Promise.all(streams);
    await expectWhole(answers);
    expect(answers.some((answer) => answer.reconnects > 0)).toBe(true);
    live.restart("entry-2");
    await waitFor("The return of entry-2", {
      timeout: 15_000,
      check: async () =>
        (await live.call(1, "/v1/health")).status === 200 || undefined,
    });
  });

  test("survive a frozen owner that wakes after a takeover", async () => {
    const { answers: streams, accepted } = startStreams(24, 300);
    await accepted;
    await sleep(200);
    live.processes.signal("entry-3", "SIGSTOP");
    await sleep(5000);
    live.processes.signal("entry-3", "SIGCONT");
    await expectWhole(await Promise.all(streams));
  });

  test("are cut by no planned stop", async () => {
    const { answers: streams, accepted } = startStreams(24, 400);
    await accepted;
    await sleep(200);
    live.processes.signal("entry-1", "SIGTERM");
    const listed = await waitFor("Discovery without entry-1", {
      timeout: 2000,
      check: async () => {
        const { body } = await live.call(1, "/v1/entries");
        return body.includes(live.callers[0]!) ? undefined : body;
      },
    });
    expect(listed).not.toContain(live.callers[0]);
    const answers = await Promise.all(streams);
    await expectWhole(answers);
    expect(answers.map((answer) => answer.reconnects)).toEqual(
      answers.map(() => 0),
    );
    expect(await live.processes.waitForExit("entry-1")).toBe(0);
  });

  test("are handed over when a planned stop has no time to finish", async () => {
    const { answers: streams } = startStreams(16, 500);
    await sleep(400);
    live.processes.signal("entry-4", "SIGTERM");
    const answers = await Promise.all(streams);
    const accepted = answers.filter((answer) => answer.requestId !== "");
    await expectWhole(accepted, 1);
    expect(accepted.some((answer) => answer.reconnects > 0)).toBe(true);
    expect(await live.processes.waitForExit("entry-4")).toBe(0);
  });
});
