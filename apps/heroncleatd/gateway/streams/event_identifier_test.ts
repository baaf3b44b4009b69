import { type AddressInfo, connect } from "node:net";
import { RouteKind } from "@heroncleat/serving";
import type { ForwardResult } from "../forward_result.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";
import { UpstreamAgent } from "../upstreams/upstream_agent.ts";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

function streamEvents(events: string, isWhole: boolean): TestResponder {
  return ({ message }, socket) => {
    const attempt = String(message.headers[names.attempt]);
    const length = Buffer.byteLength(events) + (isWhole ? 0 : 10);
    socket.write(
      `HTTP/1.1 200 OK\r\n${names.attempt}: ${attempt}\r\n` +
        `${names.digest}: d\r\nContent-Type: text/event-stream\r\n` +
        `Content-Length: ${length}\r\n\r\n${events}`,
    );
    if (!isWhole) {
      setTimeout(() => socket.destroy(), 50);
    }
  };
}

/** Plays a stream whose first upstream breaks off after one event. */
async function playStream(identifier: string) {
  const first = await TestUpstream.start(
    streamEvents(`id: ${identifier}\ndata: a\n\n`, false),
  );
  const second = await TestUpstream.start(
    streamEvents("id: 2\ndata: b\n\n", true),
  );
  const agents = new Map(
    ["u0", "u1"].map((id) => [id, new UpstreamAgent(() => 16, connect)]),
  );
  closers.push(() => {
    first.close();
    second.close();
    agents.forEach((agent) => agent.destroy());
  });
  let onResult: (result: ForwardResult) => void = () => {};
  const result = new Promise<ForwardResult>((resolve) => onResult = resolve);
  const entry = await startTestEntry({
    upstreams: [first, second],
    kind: RouteKind.streaming,
    isResumable: true,
    timeout: 3000,
    onResult,
    context: { agentOf: (id) => agents.get(id)! },
  }, (close) => closers.push(close));
  const { port } = entry.address() as AddressInfo;
  const response = await fetch(`http://127.0.0.1:${port}/`, {
    headers: { [names.attempt]: "a1" },
  });
  const body = await response.text().catch(() => "broken off");
  await result;
  const runs = [...agents.values()].flatMap((agent) => agent.listRuns());
  return { body, received: second.received, runs };
}

// Guards against a stream that hangs, and a run that is counted for ever,
// because its identifier can't be sent as text in a header.
test(
  "a stream goes on after an event whose identifier is beyond Latin-1",
  async () => {
    const { body, received, runs } = await playStream("løp-→-1");
    expect(body).toContain("data: b");
    const sent = String(received[0]?.headers["last-event-id"]);
    expect(Buffer.from(sent, "latin1").toString()).toBe("løp-→-1");
    expect(runs).toEqual([]);
  },
  6000,
);

test(
  "a stream is broken off after an identifier that no header can have",
  async () => {
    const { body, received, runs } = await playStream("a\u0001b");
    expect(body).toBe("broken off");
    expect(received).toEqual([]);
    expect(runs).toEqual([]);
  },
  6000,
);
