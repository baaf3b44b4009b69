import type { CallerRequest } from "../caller_request.ts";
import { recordStream } from "./record_stream.ts";
import { streamKey } from "./stream_key.ts";

const keyOf = (attempt: string) => streamKey({ workspace: "inn", attempt });
const call = {
  route: { name: "r", isResumable: true },
  service: "desk",
  workspace: { name: "inn" },
  attempt: "a2",
  deadline: 1000,
} as CallerRequest;

function recordedStreams(request: CallerRequest): string[] {
  const recorded: string[] = [];
  recordStream(request, {
    version: "v1",
    streams: {
      recordBegin: ({ stream, origin }) => {
        expect(origin).toEqual({ service: "desk", version: "v1" });
        recorded.push(stream);
      },
    },
  });
  return recorded;
}

const resumed = (stream: string): CallerRequest => ({
  ...call,
  resumption: {
    stream,
    origin: { service: "desk", version: "v1" },
    by: "entry-1",
    age: 5,
    search: { source: "entry", took: 2, asked: 0, unanswered: 0 },
  },
});

test("a stream is recorded by the attempt that begins it", () => {
  expect(recordedStreams(call)).toEqual([keyOf("a2")]);
});

test("a resumed stream is known also to a caller that names its last attempt", () => {
  expect(recordedStreams(resumed(keyOf("a1")))).toEqual([
    keyOf("a1"),
    keyOf("a2"),
  ]);
});

test("a resumed stream whose caller doesn't name it is recorded once", () => {
  expect(recordedStreams(resumed(""))).toEqual([keyOf("a2")]);
});

test("an attempt that is sent again under its own name is recorded once", () => {
  expect(recordedStreams(resumed(keyOf("a2")))).toEqual([keyOf("a2")]);
});

test("a stream that can't be resumed isn't recorded", () => {
  const route = { ...call.route, isResumable: false };
  expect(recordedStreams({ ...call, route })).toEqual([]);
});
