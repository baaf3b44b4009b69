import type { LogLine } from "../explain/log_line.ts";
import { formatLosses } from "./format_losses.ts";
import { readEndedRequest } from "./read_ended_request.ts";

function ended(
  outcome: string,
  attempts: string,
  fields: LogLine["fields"] = {},
): LogLine {
  return {
    at: 1000,
    process: "entry-a",
    level: "info",
    message: `gateway: A request ended: ${outcome}`,
    fields: { route: "r", status: 200, objective: 500, attempts, ...fields },
  };
}

const reasonOf = (line: LogLine) => readEndedRequest(line)?.reason;

describe("losses", () => {
  test.each([
    ["on time", "u1: 200 done (sent_after=3ms expected=80ms first_byte=90ms)"],
    [
      "late: upstream slower than expected",
      "u1: 200 done (sent_after=3ms expected=80ms first_byte=900ms)",
    ],
    [
      "late: as expected, all upstreams were busy",
      "u1: 200 done (sent_after=3ms expected=880ms first_byte=900ms)",
    ],
    [
      "late: delayed before it was sent",
      "u1: 200 done (sent_after=300ms expected=80ms first_byte=250ms)",
    ],
    [
      "late: earlier attempt failed",
      "u1: unknown, ECONNRESET (sent_after=3ms expected=80ms); " +
      "u2: 200 done (sent_after=400ms expected=80ms first_byte=250ms)",
    ],
  ])("classifies a request as %s", (reason, attempts) => {
    expect(reasonOf(ended("answered", attempts))).toBe(reason);
  });

  test("names the last outcome of a failure and the reason of a refusal", () => {
    expect(reasonOf(ended("failed", "u1: 200 broken (sent_after=3ms)")))
      .toBe("failed: 200 broken");
    expect(reasonOf({
      ...ended("", ""),
      message: "gateway: Refused a request",
      fields: { status: 429, route: "r", reason: "The quota is used up; no." },
    })).toBe("refused 429: The quota is used up");
    expect(readEndedRequest({ ...ended("", ""), message: "links: Lost" }))
      .toBeUndefined();
  });

  test("are counted by reason and by window", () => {
    const requests = [0, 100, 2500, 2600].map((at) => ({
      at,
      route: "r",
      reason: at < 2000 ? "on time" : "failed: no upstream",
    }));
    const table = formatLosses(requests);
    expect(table).toContain("4 requests, 2 lost");
    expect(table).toMatch(/r +failed: no upstream +2/);
    expect(table).toMatch(/2 s +2 +2 +failed: no upstream \(2\)/);
  });
});
