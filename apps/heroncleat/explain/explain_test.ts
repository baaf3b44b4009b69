import fc from "fast-check";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { explainCommand } from "./explain_command.ts";
import { explainRequest } from "./explain_request.ts";
import type { LogLine } from "./log_line.ts";
import { readLogLine } from "./read_log_line.ts";

const START = Date.parse("2026-12-02T08:00:00.000Z");

function line(
  after: number,
  process: string,
  message: string,
  fields: LogLine["fields"] = {},
): LogLine {
  return { at: START + after, process, level: "info", message, fields };
}

const late = line(1300, "entry-a", "gateway: A request ended: answered", {
  request: "r1",
  status: 200,
  took: 1300,
  promptTokens: 2000,
  clockAhead: 0,
  attempts: "u7: 200 done (sent_after=5ms expected=80ms uncached=1900 " +
    "news_age=40ms first_byte=1200ms)",
});
const concurrent = line(3400, "entry-b", "gateway: A request ended: answered", {
  request: "r2",
  status: 200,
  took: 1500,
  promptTokens: 48_000,
  // The clock of this VM is 2 s ahead.
  clockAhead: 2000,
  attempts: "u7: 200 done (sent_after=0ms expected=1400ms uncached=48000 " +
    "news_age=20ms first_byte=1400ms)",
});

describe("explainRequest", () => {
  test("orders the steps of a request and reports a late first byte", () => {
    const { steps, hints } = explainRequest("r1", [concurrent, late])!;
    expect(steps.map(({ at, text }) => [at - START, text.slice(0, 16)]))
      .toEqual([
        [0, "arrived (status="],
        [5, "sent to u7 (sent"],
        [1205, "first byte of u7"],
        [1300, "gateway: A reque"],
      ]);
    expect(hints[0]).toMatch(/^u7 began 1120 ms later than expected/);
  });

  test("shows all attempts at a stream, and from whom its version is known", () => {
    const begun = line(900, "entry-a", "gateway: A request ended: failed", {
      request: "s1",
      status: 200,
      took: 900,
      attempts: "u1: 200 broken (sent_after=0ms version=v2 last_event=3)",
    });
    const resumed = line(
      1500,
      "entry-b",
      "gateway: A request ended: answered",
      {
        request: "s2",
        resumes: "s1",
        boundTo: "v2",
        boundBy: "entry-c",
        boundAge: 950,
        status: 200,
        took: 500,
        attempts: "u4: 200 done (sent_after=2ms version=v2)",
      },
    );
    for (const request of ["s1", "s2"]) {
      const { steps } = explainRequest(request, [resumed, late, begun])!;
      const texts = steps.map(({ text }) => text);
      expect(texts).toContain(
        "s2 resumes s1: its version v2 is known by entry-c, age=950ms",
      );
      expect(texts.join()).toMatch(/u1 .*last_event=3.*u4 .*version=v2/);
    }
  });

  test("reports that upstreams crashed while running the request", () => {
    const rejected = line(10, "entry-a", "gateway: A request ended: refused", {
      request: "r3",
      status: 400,
      took: 1,
      clockAhead: 0,
      attempts: "rejected, upstreams ended under it",
    });
    const { hints } = explainRequest("r3", [rejected])!;
    expect(hints).toEqual([expect.stringContaining("heroncleat suspects")]);
  });

  test("lists concurrent requests at the upstream, with corrected times", () => {
    const { around } = explainRequest("r1", [late, concurrent])!;
    expect(around[0]).toMatchObject({
      process: "entry-b",
      clockAhead: 2000,
      at: START - 100,
    });
    expect(around[0]?.text).toMatch(/request r2 \(promptTokens=48000/);
  });

  test("lists lost connections and orders around a refusal", () => {
    const refused = line(500, "entry-a", "gateway: Refused a request", {
      request: "r3",
      status: 429,
      reason: "The workspace's quota is used up.",
    });
    const lost = line(-900, "entry-a", "links: Lost a control replica", {
      address: "10.0.0.1:7600",
    });
    const order = line(-200, "control-a", "duties: Ordered upstreams: refused");
    const early = line(-9000, "control-a", "duties: Fleet");
    const elsewhere = line(-100, "entry-c", "links: Lost a control replica");
    const explained = explainRequest("r3", [
      early,
      elsewhere,
      lost,
      order,
      refused,
    ])!;
    expect(explained.around.map(({ text }) => text.split(" (")[0])).toEqual([
      "links: Lost a control replica",
      "duties: Ordered upstreams: refused",
    ]);
    expect(explained.hints[0]).toMatch(/^Refused with 429/);
  });

  test("distinguishes attempts that did not run from unknown outcomes", () => {
    const failed = line(900, "entry-a", "gateway: A request ended: failed", {
      request: "r4",
      status: 504,
      took: 400,
      attempts: "u1: not run, ECONNREFUSED (sent_after=0ms expected=2ms); " +
        "u2: unknown, ABORT_ERR (sent_after=3ms expected=2ms)",
    });
    const { hints } = explainRequest("r4", [failed])!;
    expect(hints[0]).toMatch(/^u1 did not run it/);
    expect(hints[1]).toMatch(/^u2 had not answered/);
  });

  test("parses lines with a log collector's prefix and ignores others", () => {
    const text = `  12.5 vm-1 {"time":"2026-12-02T08:00:00.000Z","level":` +
      `"info","process":"entry-a","message":"m","request":"r1"}`;
    expect(readLogLine(text)).toMatchObject({ at: START, process: "entry-a" });
    fc.assert(fc.property(fc.string(), (noise) => {
      expect(readLogLine(`no log ${noise}`)).toBeUndefined();
    }));
  });
});

describe("heroncleat explain", () => {
  const folder = mkdtempSync(join(tmpdir(), "explain-"));
  afterAll(() => rmSync(folder, { recursive: true }));
  const file = join(folder, "entry-a.log");
  const printed: string[] = [];
  const run = (args: string[], logs: string | undefined) =>
    explainCommand({
      args,
      logs,
      json: false,
      print: (text) => printed.push(text),
    });

  test("prints a timeline from the given files", () => {
    const { at, process, level, message, fields } = late;
    const time = new Date(at).toISOString();
    writeFileSync(
      file,
      `${JSON.stringify({ time, process, level, message, ...fields })}\n`,
    );
    expect(run(["r1"], file).isOk).toBe(true);
    expect(printed[0]).toMatch(/first byte of u7/);
  });

  test("reports missing input with a remedy", () => {
    const messages = [
      run([], file),
      run(["r1"], undefined),
      run(["r1"], join(folder, "none.log")),
      run(["unknown"], file),
    ].map((result) => result.isErr ? result.error.message : "");
    for (const message of messages) {
      expect(message).toMatch(/Remedy: /);
    }
  });
});
