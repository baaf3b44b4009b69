import { request, type Server } from "node:http";
import {
  type AddressInfo,
  connect,
  Socket,
  type TcpNetConnectOpts,
} from "node:net";
import { type Route, RouteKind, UpstreamDirectory } from "@heroncleat/serving";
import fc from "fast-check";
import type { ForwardContext } from "./forward_context.ts";
import type { ForwardResult } from "./forward_result.ts";
import { startTestEntry } from "./start_test_entry.ts";
import { type TestResponder, TestUpstream } from "./test_upstream.ts";
import { UpstreamAgent } from "./upstreams/upstream_agent.ts";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

const echo: TestResponder = ({ message, body }, socket) =>
  void socket.write(
    "HTTP/1.1 200 OK\r\nx-digest: d\r\n" +
      `x-attempt: ${message.headers["x-attempt"]}\r\n` +
      `Content-Length: ${body.length}\r\n\r\n${body}`,
  );
const respondWith = (status: string, extra = "") => {
  const reply: TestResponder = ({ message }, socket) =>
    void socket.write(
      `HTTP/1.1 ${status}\r\nx-attempt: ${message.headers["x-attempt"]}\r\n` +
        `${extra}Content-Length: 0\r\n\r\n`,
    );
  return reply;
};

describe("a forwarded call", () => {
  test("reaches the upstream unchanged but for the key, and the response is passed on", async () => {
    const desk = await upstream(echo);
    const { body, status } = await sendRequest({
      upstreams: [desk],
      path: "/a?b=c",
    });
    expect([status, body]).toEqual([200, "hello"]);
    expect(desk.received[0]!.headers["x-key"]).toBeUndefined();
    expect(desk.received[0]!.headers["x-other"]).toBe("kept");
    expect(desk.received[0]!.headers["x-expected"]).toBe("u0");
    expect(Number(desk.received[0]!.headers["x-time-left"])).toBeLessThan(1001);
  });

  const lostResponses: [string, TestResponder][] = [
    ["a response to another request", (_request, socket) =>
      void socket.write(
        "HTTP/1.1 200 OK\r\nx-digest: d\r\nx-attempt: other\r\n" +
          "Content-Length: 0\r\n\r\n",
      )],
    ["a response without a digest", respondWith("200 OK")],
    ["a truncated body", ({ message }, socket) => {
      socket.end(
        "HTTP/1.1 200 OK\r\nx-digest: d\r\n" +
          `x-attempt: ${message.headers["x-attempt"]}\r\n` +
          "Content-Length: 100\r\n\r\nhalf",
      );
    }],
    ["a body without a length that is reset", ({ message }, socket) => {
      socket.write(
        "HTTP/1.1 200 OK\r\nx-digest: d\r\n" +
          `x-attempt: ${message.headers["x-attempt"]}\r\n\r\nhalf`,
        () => setTimeout(() => socket.resetAndDestroy(), 20),
      );
    }],
    ["a body without a length that is reset at once", ({ message }, socket) => {
      socket.write(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nx-digest: d\r\n" +
          `x-attempt: ${message.headers["x-attempt"]}\r\n\r\nhalf`,
        () => socket.resetAndDestroy(),
      );
    }],
    [
      "bytes that aren't a response",
      (_request, socket) => void socket.end("garbage\r\n\r\n"),
    ],
    ["a closed connection", (_request, socket) => void socket.destroy()],
  ];

  test.each(lostResponses)(
    "that meets %s is never sent twice if it isn't idempotent",
    async (_name, reply) => {
      const bad = await upstream(reply);
      const good = await upstream(echo);
      const callerResult = await sendRequest({
        upstreams: [bad, good],
        kind: RouteKind.nonIdempotent,
      });
      expect(callerResult.status).toBe(502);
      expect(good.received.length).toBe(0);
      expect(callerResult.result.mayHaveRun).toBe(true);
    },
  );

  test.each(lostResponses)(
    "that meets %s is sent to another upstream if it is idempotent",
    async (_name, reply) => {
      const bad = await upstream(reply);
      const good = await upstream(echo);
      const callerResult = await sendRequest({ upstreams: [bad, good] });
      expect([callerResult.status, callerResult.body]).toEqual([200, "hello"]);
    },
  );

  test("is retried if the upstream reports that it has not run", async () => {
    const full = await upstream(respondWith("503 Full", "x-not-run: 1\r\n"));
    const good = await upstream(echo);
    const callerResult = await sendRequest({
      upstreams: [full, good],
      kind: RouteKind.nonIdempotent,
    });
    expect(callerResult.status).toBe(200);
  });

  test("is refused at once with a Retry-After if no upstream runs it", async () => {
    const full = await upstream(respondWith("503 Full", "x-not-run: 1\r\n"));
    const callerResult = await sendRequest({ upstreams: [full] });
    expect(callerResult.status).toBe(503);
    expect(Number(callerResult.headers["retry-after"])).toBeGreaterThan(0);
    expect(callerResult.took).toBeLessThan(500);
    expect(callerResult.result.mayHaveRun).toBe(false);
  });

  test("receives the upstream's error response with its digest", async () => {
    const bad = await upstream(respondWith("500 Oops", "x-digest: d5\r\n"));
    const callerResult = await sendRequest({
      upstreams: [bad],
      kind: RouteKind.nonIdempotent,
    });
    expect([callerResult.status, callerResult.headers["x-digest"]]).toEqual([
      500,
      "d5",
    ]);
  });

  test("is responded to at the route's timeout", async () => {
    const unresponsive = await upstream(() => {});
    const callerResult = await sendRequest({
      upstreams: [unresponsive],
      timeout: 200,
    });
    expect(callerResult.status).toBe(504);
    expect(callerResult.took).toBeLessThan(600);
  });

  test("ignores an extra response that arrives late", async () => {
    const doubled = await upstream((request, socket) => {
      echo(request, socket);
      setTimeout(() => echo(request, socket), 30);
    });
    const entry = await startEntry({ upstreams: [doubled] });
    for (let round = 0; round < 3; round += 1) {
      const callerResult = await sendToEntry(entry, {
        attempt: `attempt-${round}`,
      });
      expect([callerResult.status, callerResult.body]).toEqual([200, "hello"]);
      await new Promise((resolve) => setTimeout(resolve, 60));
    }
  });
});

describe("a corrupted response of an upstream", () => {
  type Corruption = {
    /** Share of the response that is sent before the corruption. */
    readonly at: number;
    readonly how: "cut" | "reset" | "junk" | "doubled" | "foreign";
    readonly hasLength: boolean;
    readonly junk: string;
  };
  const corruptions = fc.record({
    at: fc.double({ min: 0, max: 1, noNaN: true }),
    how: fc.constantFrom("cut", "reset", "junk", "doubled", "foreign"),
    hasLength: fc.boolean(),
    junk: fc.string({ minLength: 1, maxLength: 20 }),
  }) as fc.Arbitrary<Corruption>;

  function respondCorrupted(corruption: Corruption): TestResponder {
    const { at, how, hasLength, junk } = corruption;
    return ({ message, body }, socket) => {
      const attempt = how === "foreign" ? "another" : message
        .headers["x-attempt"];
      const text = "HTTP/1.1 200 OK\r\nx-digest: d\r\n" +
        `x-attempt: ${attempt}\r\n` +
        (hasLength
          ? `Content-Length: ${body.length}\r\n\r\n`
          : "Connection: close\r\n\r\n") +
        body;
      const before = text.slice(0, Math.floor(at * (text.length - 1)));
      if (how === "doubled") {
        socket.write(text + text);
      } else if (how === "foreign") {
        socket.write(text);
      } else if (how === "junk") {
        socket.end(before + junk + text.slice(before.length));
      } else if (how === "reset") {
        socket.write(before, () => socket.resetAndDestroy());
      } else {
        socket.write(before, () => socket.destroy());
      }
    };
  }

  test("is never taken for a complete one, and the next request is served", async () => {
    let served = 0;
    await fc.assert(
      fc.asyncProperty(corruptions, async (corruption) => {
        // Without a length, a truncated body can't be detected after an orderly
        // end, nor junk within a body.
        const isUndetectable =
          (corruption.how === "cut" && !corruption.hasLength) ||
          corruption.how === "junk";
        let isCorrupting = true;
        const engine = await upstream((request, socket) =>
          isCorrupting
            ? respondCorrupted(corruption)(request, socket)
            : echo(request, socket)
        );
        const entry = await startEntry({
          upstreams: [engine],
          kind: RouteKind.nonIdempotent,
          timeout: 250,
        });
        const callerResult = await sendToEntry(entry, { attempt: "first" });
        if (
          callerResult.status === 200 && callerResult.isWhole && !isUndetectable
        ) {
          expect(callerResult.body).toBe("hello");
        }
        expect(callerResult.status).not.toBe(503);
        expect(engine.received.length).toBe(1);
        isCorrupting = false;
        const next = await sendToEntry(entry, { attempt: "second" });
        // A failed upstream isn't chosen for a while.
        expect([200, 503]).toContain(next.status);
        if (next.status === 200) {
          expect(next.body).toBe("hello");
          served += 1;
        }
      }),
      { numRuns: 40 },
    );
    expect(served).toBeGreaterThan(0);
  });
});

test("an upstream that was silent for a second serves if no other can", async () => {
  const silent = await upstream(echo);
  const other = await upstream(echo);
  const directory = new UpstreamDirectory();
  const report = (name: string, address: string, state: "ready" | "draining") =>
    directory.merge({
      id: name,
      name,
      born: undefined,
      service: "desk",
      address,
      zone: name === "u0" ? "a" : "b",
      slots: 4,
      sequence: state === "ready" ? 1 : 2,
      state,
      isSpot: false,
      leavesIn: undefined,
    }, 0);
  report("u0", silent.address, "ready");
  report("u1", other.address, "ready");
  let isSilent = true;
  const connectTo = (options: TcpNetConnectOpts) => {
    const isUnanswered = isSilent &&
      silent.address.endsWith(`:${options.port}`);
    const socket = isUnanswered ? new Socket() : connect(options);
    if (isUnanswered) {
      Object.defineProperty(socket, "connecting", {
        value: true,
        writable: true,
      });
    }
    return socket;
  };
  const agent = new UpstreamAgent(() => 4, connectTo);
  closers.push(() => agent.destroy());
  const reported: string[] = [];
  const entry = await startEntry({
    upstreams: [silent, other],
    context: {
      directory,
      agentOf: () => agent,
      reportFailure: (id) => reported.push(id),
    },
  });
  expect((await sendToEntry(entry, { attempt: "a" })).status).toBe(200);
  expect(other.received.length).toBe(1);
  isSilent = false;
  report("u1", other.address, "draining");
  expect((await sendToEntry(entry, { attempt: "b" })).status).toBe(200);
  expect([silent.received.length, reported]).toEqual([1, []]);
});

test("only one request fails when all kept connections stop working", async () => {
  const used = new Set<unknown>();
  let unresponsive = new Set<unknown>();
  const desk = await upstream((request, socket) => {
    used.add(socket);
    if (!unresponsive.has(socket)) {
      setTimeout(() => echo(request, socket), 30);
    }
  });
  const entry = await startEntry({ upstreams: [desk], timeout: 150 });
  const { port } = entry.address() as AddressInfo;
  const send = () =>
    new Promise<number>((resolve) => {
      const outgoing = request({
        port,
        host: "127.0.0.1",
        method: "POST",
        headers: { "x-attempt": `${Math.random()}`, host: "h" },
      }, (message) => {
        message.resume();
        resolve(message.statusCode!);
      });
      outgoing.end("hello");
    });
  expect(await Promise.all([send(), send(), send()])).toEqual([200, 200, 200]);
  unresponsive = new Set(used);
  expect(await send()).toBe(504);
  expect([await send(), await send()]).toEqual([200, 200]);
});

describe("a forwarded stream", () => {
  const head = (attempt: unknown) =>
    "HTTP/1.1 200 OK\r\nx-digest: first\r\nContent-Type: text/event-stream\r\n" +
    `x-attempt: ${attempt}\r\nTransfer-Encoding: chunked\r\n\r\n`;
  const chunk = (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`;
  const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;
  const breakOff: TestResponder = ({ message }, socket) => {
    socket.write(
      head(message.headers["x-attempt"]) +
        chunk(event(1) + event(2) + "id: 3\nda"),
    );
    setTimeout(() => socket.destroy(), 20);
  };
  const resumeStream: TestResponder = ({ message }, socket) => {
    const from = Number(message.headers["last-event-id"] ?? 0);
    let events = "";
    for (let id = from + 1; id <= 4; id += 1) {
      events += event(id);
    }
    socket.write(
      head(message.headers["x-attempt"]).replace("first", "second") +
        chunk(events) + "0\r\n\r\n",
    );
  };
  const allEvents = event(1) + event(2) + event(3) + event(4);

  test("passes on complete events and the end", async () => {
    const engine = await upstream(resumeStream);
    const callerResult = await sendRequest({
      upstreams: [engine],
      kind: RouteKind.streaming,
    });
    expect([callerResult.status, callerResult.body]).toEqual([200, allEvents]);
  });

  test("that is interrupted resumes at another upstream after the last complete event", async () => {
    const broken = await upstream(breakOff);
    const engine = await upstream(resumeStream);
    const callerResult = await sendRequest({
      upstreams: [broken, engine],
      kind: RouteKind.streaming,
      isResumable: true,
    });
    expect(callerResult.body).toBe(allEvents);
    expect(callerResult.headers["x-digest"]).toBe("first");
    expect(engine.received[0]!.headers["last-event-id"]).toBe("2");
  });

  test("that is interrupted and not resumable doesn't look complete", async () => {
    const broken = await upstream(breakOff);
    const engine = await upstream(resumeStream);
    const callerResult = await sendRequest({
      upstreams: [broken, engine],
      kind: RouteKind.streaming,
    });
    expect(callerResult.isWhole).toBe(false);
    expect(engine.received.length).toBe(0);
  });

  test("that fails before its first event is sent to another upstream if resumable", async () => {
    const failing = await upstream(
      respondWith("500 Failed", "x-digest: f\r\n"),
    );
    const engine = await upstream(resumeStream);
    const setup = {
      upstreams: [failing, engine],
      kind: RouteKind.streaming,
      isResumable: true,
    };
    const callerResult = await sendRequest(setup);
    expect([callerResult.status, callerResult.body]).toEqual([200, allEvents]);
    // A stream that may not run twice gets the error response unchanged.
    const once = await sendRequest({ ...setup, isResumable: false });
    expect([once.status, once.headers["x-digest"]]).toEqual([500, "f"]);
  });

  test("that fails at all upstreams passes on the last error response", async () => {
    const failing = await upstream(
      respondWith("500 Failed", "x-digest: f\r\n"),
    );
    const other = await upstream(respondWith("503 Failed", "x-digest: g\r\n"));
    const callerResult = await sendRequest({
      upstreams: [failing, other],
      kind: RouteKind.streaming,
      isResumable: true,
    });
    expect([callerResult.status, callerResult.headers["x-digest"]]).toEqual([
      503,
      "g",
    ]);
    expect(callerResult.result.attempts.length).toBe(2);
  });

  test("ends at the upstream within half a second after the caller disconnected", async () => {
    let closedAt = 0;
    const endless = await upstream(({ message }, socket) => {
      socket.write(head(message.headers["x-attempt"]) + chunk(event(1)));
      socket.once("close", () => closedAt = performance.now());
    });
    const entry = await startEntry({
      upstreams: [endless],
      kind: RouteKind.streaming,
    });
    const { port } = entry.address() as AddressInfo;
    const caller = connect(port, "127.0.0.1");
    caller.write(
      "POST / HTTP/1.1\r\nHost: h\r\nx-attempt: a\r\n" +
        "Content-Length: 0\r\n\r\n",
    );
    await new Promise((resolve) => caller.once("data", resolve));
    const leftAt = performance.now();
    caller.destroy();
    await new Promise((resolve) => setTimeout(resolve, 300));
    expect(closedAt).toBeGreaterThan(0);
    expect(closedAt - leftAt).toBeLessThan(250);
  });
});

type Setup = {
  readonly upstreams: readonly TestUpstream[];
  readonly kind?: Route["kind"];
  readonly isResumable?: boolean;
  readonly timeout?: number;
  readonly path?: string;
  readonly context?: Partial<ForwardContext>;
  readonly onResult?: (result: ForwardResult) => void;
};

async function upstream(reply: TestResponder): Promise<TestUpstream> {
  const started = await TestUpstream.start(reply);
  closers.push(() => started.close());
  return started;
}

function startEntry(setup: Setup): Promise<Server> {
  return startTestEntry(setup, (close) => closers.push(close));
}

/** A response as received by the caller. */
type CallerResult = {
  readonly status: number;
  readonly headers: Record<string, unknown>;
  readonly body: string;
  readonly isWhole: boolean;
  readonly took: number;
};

async function sendRequest(
  setup: Setup,
): Promise<CallerResult & { result: ForwardResult }> {
  let result: ForwardResult | undefined;
  const entry = await startEntry({
    ...setup,
    onResult: (ended) => result = ended,
  });
  const callerResult = await sendToEntry(entry, { path: setup.path });
  await new Promise((resolve) => setImmediate(resolve));
  return { ...callerResult, result: result! };
}

function sendToEntry(
  entry: Server,
  options: { path?: string | undefined; attempt?: string },
): Promise<CallerResult> {
  const { port } = entry.address() as AddressInfo;
  const startedAt = performance.now();
  return new Promise((resolve) => {
    const outgoing = request({
      port,
      host: "127.0.0.1",
      method: "POST",
      path: options.path ?? "/",
      agent: false,
      headers: {
        "x-attempt": options.attempt ?? "a1",
        "x-key": "secret",
        "x-other": "kept",
      },
    }, (response) => {
      let body = "";
      const end = () =>
        resolve({
          status: response.statusCode!,
          headers: response.headers,
          body,
          isWhole: response.complete,
          took: performance.now() - startedAt,
        });
      response.on("data", (chunk) => body += chunk);
      response.on("error", () => {});
      response.on("close", end);
    });
    // A response that was cut off is reported by its "close" event.
    outgoing.on("error", () => {});
    outgoing.end("hello");
  });
}
