import { testHeaderNames as names } from "../test_header_names.ts";
import { recordRefusedResumption } from "./record_refused_resumption.ts";
import { StopReason } from "./stop_reason.ts";

const response = { status: 503, message: "unknown" };

function record(headers: Record<string, string>) {
  const lines: [string, object | undefined][] = [];
  const counted: string[] = [];
  recordRefusedResumption(headers, {
    response,
    reason: StopReason.unknownOrigin,
    search: { source: "none", took: 199.6, asked: 9, unanswered: 2 },
  }, {
    names,
    log: {
      debug() {},
      info: (message, line) => lines.push([message, line]),
      warn() {},
      error() {},
    },
    metrics: {
      increment: (name) => counted.push(name),
      gauge() {},
      timing() {},
      close() {},
    },
  });
  return { lines, counted };
}

test("a resumed stream whose origin is unknown says how it was searched for", () => {
  const { lines, counted } = record({
    [names.attempt]: "a2",
    [names.resumes]: "a1",
  });
  expect(lines).toEqual([["A resumed stream ended: refused", {
    request: "a2",
    resumes: "a1",
    source: "none",
    boundBy: "",
    boundTo: "",
    boundAge: 0,
    searchTook: 200,
    asked: 9,
    unanswered: 2,
    status: 503,
    reason: "unknown_origin",
    attempts: "",
  }]]);
  expect(counted).toEqual([
    "gateway.resumed_streams.found_by_none",
    "gateway.resumed_streams.stopped.unknown_origin",
  ]);
});

test("a request that begins a stream isn't logged as a resumed one", () => {
  expect(record({ [names.attempt]: "a2" }).lines).toEqual([]);
});
