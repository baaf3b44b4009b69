import type { AddressInfo } from "node:net";
import { RouteKind } from "@heroncleat/serving";
import { startTestEntry } from "../start_test_entry.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { TestUpstream } from "../test_upstream.ts";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

// Guards against a caller that waits beyond its deadline: the body fails in the
// same read as the head of the response.
test(
  "a stream whose chunks can't be read from the first on is broken off",
  async () => {
    const upstream = await TestUpstream.start(({ message }, socket) => {
      const attempt = String(message.headers[names.attempt]);
      socket.write(
        `HTTP/1.1 200 OK\r\n${names.attempt}: ${attempt}\r\n` +
          `${names.digest}: d\r\nContent-Type: text/event-stream\r\n` +
          "Transfer-Encoding: chunked\r\n\r\nd\r\nid: 1\ndata: a\n\n\r\n",
      );
    });
    closers.push(() => upstream.close());
    const entry = await startTestEntry({
      upstreams: [upstream],
      kind: RouteKind.streaming,
      timeout: 500,
    }, (close) => closers.push(close));
    const { port } = entry.address() as AddressInfo;
    const response = await fetch(`http://127.0.0.1:${port}/`, {
      headers: { [names.attempt]: "a1" },
    });
    await expect(response.text()).rejects.toThrow();
  },
  5000,
);
