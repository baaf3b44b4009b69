import {
  streamChatCompletion,
  type StreamedChatCompletion,
} from "@heroncleat/local_deployment";
import { LiveDeployment } from "./live_deployment.ts";

const REQUESTS = 1000;
const AT_ONCE = 120;
const TOKENS = 40;
const NOTICE = 1000;

const live = new LiveDeployment({
  firstPort: 23_000,
  controls: 3,
  entries: 4,
  engines: 8,
  services: 1,
  entrySettings: { upstream_lease: 1500 },
  engine: { decodeInterval: 12, slots: 48 },
  upstream: (settings, place) => ({
    ...settings,
    announceInterval: 200,
    engine: { ...settings.engine, salt: `salt-${place}` },
  }),
});

beforeAll(() => live.start());
afterAll(() => live.stop());

const sleep = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Reclaims whole zones in turn, and lets them come back. */
async function runWaves(isOver: () => boolean): Promise<number> {
  let waves = 0;
  while (!isOver()) {
    const zone = waves % 4 + 1;
    const names = [`engine-${zone}`, `engine-${zone + 4}`];
    await Promise.all(
      names.map((name) => live.standIn(name, { leaveIn: NOTICE })),
    );
    await sleep(NOTICE);
    for (const name of names) {
      live.processes.signal(name, "SIGKILL");
      await live.processes.waitForExit(name);
    }
    await sleep(300);
    for (const name of names) {
      live.restart(name);
    }
    await sleep(700);
    waves += 1;
  }
  return waves;
}

describe("a thousand requests through waves that take zones", () => {
  test("are all answered whole", async () => {
    const answers: StreamedChatCompletion[] = [];
    let next = 0;
    let running = AT_ONCE;
    const waves = runWaves(() => running === 0);
    const callers = Array.from({ length: AT_ONCE }, async () => {
      while (next < REQUESTS) {
        const n = next;
        next += 1;
        answers.push(
          await streamChatCompletion({
            entries: [live.callers[n % 4]!, live.callers[(n + 1) % 4]!],
            key: live.key,
            body: {
              model: "assistant",
              max_tokens: TOKENS,
              messages: [{ role: "user", content: `Letter ${n}` }],
            },
            timeout: 30_000,
          }),
        );
      }
      running -= 1;
    });
    await Promise.all(callers);
    const accepted = answers.filter((answer) => answer.status === 200);
    const refused = answers.filter((answer) => answer.status !== 200);
    const whole = accepted.filter((answer) =>
      answer.misplaced === 0 &&
      (answer.finishReason === "stop" || answer.pieces === TOKENS)
    );
    expect(await waves).toBeGreaterThan(1);
    expect(whole).toHaveLength(accepted.length);
    expect(accepted.length).toBeGreaterThan(REQUESTS * 0.95);
    expect(refused.map((answer) => answer.run)).toEqual(
      refused.map(() => "not-run"),
    );
  });
});
