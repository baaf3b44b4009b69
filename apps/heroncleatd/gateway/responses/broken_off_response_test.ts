import type { Socket } from "node:net";
import { RouteKind } from "@heroncleat/serving";
import fc from "fast-check";
import type { ForwardContext } from "../forward_context.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";
import { type RawResponse, readRawResponse } from "./read_raw_response.ts";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

/** How an upstream ends a connection. */
type ConnectionEnd = (socket: Socket) => void;

const ends: [string, ConnectionEnd][] = [
  ["closes at once", (socket) => void socket.end()],
  ["closes later", (socket) => void setTimeout(() => socket.end(), 20)],
  ["resets", (socket) => void setTimeout(() => socket.resetAndDestroy(), 20)],
];
const orderlyEnds = ends.slice(0, 2);
const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;
const ALL_EVENTS = event(1) + event(2) + event(3) + event(4);

function head(attempt: unknown, framing = ""): string {
  return "HTTP/1.1 200 OK\r\nx-digest: d\r\nContent-Type: text/event-stream" +
    `\r\nx-attempt: ${attempt}\r\n${framing}\r\n`;
}

/** Responds without a length or chunks, and ends the connection. */
function respondUntilEnd(body: string, end: ConnectionEnd): TestResponder {
  return ({ message }, socket) => {
    socket.write(head(message.headers["x-attempt"]) + body);
    end(socket);
  };
}

function respondInChunks(body: string): TestResponder {
  return ({ message }, socket) => {
    const size = Buffer.byteLength(body).toString(16);
    const chunks = body === "" ? "" : `${size}\r\n${body}\r\n`;
    socket.write(
      head(
        message.headers["x-attempt"],
        "Transfer-Encoding: chunked\r\n",
      ) + `${chunks}0\r\n\r\n`,
    );
  };
}

const resumeStream: TestResponder = (request, socket) => {
  const last = Number(request.message.headers["last-event-id"] ?? 0);
  const rest = [1, 2, 3, 4].filter((id) => id > last).map(event).join("");
  respondInChunks(rest)(request, socket);
};

const isChunked = ({ head }: RawResponse) => /chunked/i.test(head);
/** Whether it is an error of the entry, with nothing of an upstream's. */
const isFailure = ({ head, body }: RawResponse) =>
  /^HTTP\/1\.1 502 /.test(head) && !/x-digest|event-stream/i.test(head) &&
  !/^(id|data):/m.test(body);
const claimsCompleteness = (response: RawResponse) =>
  isChunked(response)
    ? response.body.endsWith("0\r\n\r\n")
    : /content-length/i.test(response.head) && !isFailure(response);
/** Joins the data of the chunks that arrived. */
function unchunk(body: string): string {
  let text = "";
  let rest = body;
  while (rest !== "") {
    const [size = ""] = rest.split("\r\n", 1);
    const from = size.length + 2;
    text += rest.slice(from, from + parseInt(size, 16));
    rest = rest.slice(from + parseInt(size, 16) + 2);
  }
  return text;
}

/** The text of an upstream that was passed on. */
function textOf(response: RawResponse): string {
  if (isFailure(response)) {
    return "";
  }
  return isChunked(response) ? unchunk(response.body) : response.body;
}

/** Responds until the connection ends, and refuses connections from then on. */
function crashAfter(body: string): TestResponder {
  return (request, socket) => {
    socket.write(head(request.message.headers["x-attempt"]) + body);
    testUpstreams.get(socket.localPort)!.stopListening();
    setTimeout(() => socket.end(), 20);
  };
}

/** Test upstreams by port. */
const testUpstreams = new Map<number | undefined, TestUpstream>();

async function startUpstream(responder: TestResponder): Promise<TestUpstream> {
  const upstream = await TestUpstream.start(responder);
  testUpstreams.set(Number(upstream.address.split(":")[1]), upstream);
  closers.push(() => upstream.close());
  return upstream;
}

type Setup = {
  readonly kind: typeof RouteKind[keyof typeof RouteKind];
  readonly isResumable?: boolean;
  readonly method?: string;
  readonly onCreated?: (context: ForwardContext) => void;
};

async function receive(
  responders: readonly TestResponder[],
  setup: Setup,
): Promise<RawResponse & { outcome: string }> {
  const upstreams: TestUpstream[] = [];
  for (const responder of responders) {
    upstreams.push(await startUpstream(responder));
  }
  let outcome = "";
  const entry = await startTestEntry({
    ...setup,
    upstreams,
    onResult: (result) => outcome = result.outcome,
  }, (close) => closers.push(close));
  const response = await readRawResponse(entry, {
    method: setup.method ?? "POST",
    onClose: (close) => closers.push(close),
  });
  await new Promise((resolve) => setTimeout(resolve, 5));
  return { ...response, outcome };
}

describe("a stream that ends with its connection", () => {
  const stream = { kind: RouteKind.streaming };

  test.each(orderlyEnds)(
    "inside an event isn't passed on as complete if the upstream %s",
    async (_name, end) => {
      const cuts = [
        event(1) + "id: 2\ndata: e2\n",
        event(1) + "id: 2\nda",
        "id: 1\nda",
        event(1) + `id: 2\ndata: ${"x".repeat(1_200_000)}`,
      ];
      for (const cut of cuts) {
        const response = await receive([respondUntilEnd(cut, end)], stream);
        const hasEvents = cut.startsWith(event(1));
        expect(claimsCompleteness(response)).toBe(false);
        expect(isFailure(response)).toBe(!hasEvents);
        expect([response.isReset, response.outcome]).toEqual([
          hasEvents,
          "failed",
        ]);
        // What was complete before is delivered, and nothing behind it.
        expect(textOf(response)).toBe(hasEvents ? event(1) : "");
      }
    },
  );

  test("inside an event doesn't look complete if its chunks do", async () => {
    const response = await receive(
      [respondInChunks(event(1) + "id: 2\nda")],
      stream,
    );
    expect(claimsCompleteness(response)).toBe(false);
    expect([response.isReset, response.outcome]).toEqual([true, "failed"]);
  });

  test("inside an event is resumed where that is allowed", async () => {
    for (const [, end] of ends) {
      const cut = event(1) + event(2) + "id: 3\nda";
      const response = await receive(
        [respondUntilEnd(cut, end), resumeStream],
        { ...stream, isResumable: true },
      );
      expect(textOf(response)).toBe(ALL_EVENTS);
      expect([response.isReset, response.outcome]).toEqual([false, "answered"]);
    }
  });

  test("between events doesn't get a framing that claims completeness", async () => {
    const cut = event(1) + event(2);
    for (const isResumable of [false, true]) {
      const response = await receive(
        [respondUntilEnd(cut, orderlyEnds[1]![1]), resumeStream],
        { ...stream, isResumable },
      );
      expect([claimsCompleteness(response), response.body]).toEqual([
        false,
        cut,
      ]);
      expect(response.head).toMatch(/^connection: close$/im);
      expect([response.isReset, response.outcome]).toEqual([false, "answered"]);
    }
  });

  test("between events is reset if its upstream refuses connections then", async () => {
    const response = await receive([crashAfter(event(1))], stream);
    expect(response.body).toBe(event(1));
    expect([response.isReset, response.outcome]).toEqual([true, "failed"]);
  });

  test("between events is resumed if its upstream refuses connections then", async () => {
    const response = await receive(
      [crashAfter(event(1) + event(2)), resumeStream],
      { ...stream, isResumable: true },
    );
    expect(textOf(response)).toBe(ALL_EVENTS);
    expect([response.isReset, response.outcome]).toEqual([false, "answered"]);
  });

  // Guards against streams that end as complete when a VM is reclaimed.
  test.each([[false, event(1), true], [true, ALL_EVENTS, false]])(
    "between events isn't complete if its VM is reclaimed then (resumable: %s)",
    async (isResumable, text, isReset) => {
      let startDraining = () => {};
      const reclaimed: TestResponder = (request, socket) => {
        startDraining();
        crashAfter(event(1))(request, socket);
      };
      const response = await receive([reclaimed, resumeStream], {
        ...stream,
        isResumable,
        onCreated: ({ directory, clock }) => {
          const { record } = directory.get("u0")!;
          startDraining = () =>
            void directory.merge(
              { ...record, sequence: 2, state: "draining", leavesIn: 20 },
              clock.steady(),
            );
        },
      });
      expect(textOf(response)).toBe(text);
      expect(response.isReset).toBe(isReset);
    },
  );

  test("after a resumed one had chunks isn't ended with their last one", async () => {
    const cutInChunks: TestResponder = ({ message }, socket) => {
      const attempt = message.headers["x-attempt"];
      socket.write(head(attempt, "Transfer-Encoding: chunked\r\n"));
      socket.write(`11\r\n${event(1)}x\r\n`);
      setTimeout(() => socket.end(), 20);
    };
    const response = await receive(
      [cutInChunks, respondUntilEnd(event(2), orderlyEnds[1]![1])],
      { ...stream, isResumable: true },
    );
    expect(textOf(response)).toBe(event(1) + event(2));
    expect([claimsCompleteness(response), response.isReset]).toEqual([
      false,
      true,
    ]);
  });
});

test("a stream whose chunks end between events keeps the caller's connection", async () => {
  const response = await receive([respondInChunks(ALL_EVENTS)], {
    kind: RouteKind.streaming,
  });
  expect(claimsCompleteness(response)).toBe(true);
  expect(response.head).toMatch(/^connection: keep-alive$/im);
  expect(textOf(response)).toBe(ALL_EVENTS);
});

describe("a call whose response ends with its connection", () => {
  test.each([
    ["idempotent", RouteKind.idempotent],
    ["non-idempotent", RouteKind.nonIdempotent],
  ])("is passed on without a length (%s)", async (_name, kind) => {
    for (const [, end] of orderlyEnds) {
      const response = await receive([respondUntilEnd("half", end)], { kind });
      expect(claimsCompleteness(response)).toBe(false);
      expect(response.head).toMatch(/^connection: close$/im);
      expect([response.body, response.isReset]).toEqual(["half", false]);
    }
  });

  test("is asked again if its upstream refuses connections then and it is idempotent", async () => {
    const whole = respondUntilEnd("whole", orderlyEnds[1]![1]);
    const idempotent = await receive([crashAfter("half"), whole], {
      kind: RouteKind.idempotent,
    });
    expect(idempotent.body).toBe("whole");
    const once = await receive([crashAfter("half"), whole], {
      kind: RouteKind.nonIdempotent,
    });
    expect(once.head).toMatch(/^HTTP\/1.1 502 /);
  });

  test("gets a length from HEAD only if the upstream states one", async () => {
    const respondToHead =
      (framing: string): TestResponder => ({ message }, socket) => {
        socket.write(head(message.headers["x-attempt"], framing));
        socket.end();
      };
    const setup = { kind: RouteKind.idempotent, method: "HEAD" };
    const stated = await receive(
      [respondToHead("Content-Length: 7\r\n")],
      setup,
    );
    expect(stated.head).toMatch(/^content-length: 7$/im);
    const unstated = await receive([respondToHead("")], setup);
    expect(unstated.head).not.toMatch(/content-length/i);
  });
});

test("no cut of a stream reaches its caller as complete, in any framing", async () => {
  const cuts = fc.record({
    framing: fc.constantFrom("length", "chunked", "connection"),
    lineEnd: fc.constantFrom("\n", "\r\n", "\r"),
    share: fc.double({ min: 0, max: 0.999, noNaN: true }),
    isReset: fc.boolean(),
    isResumable: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(cuts, async (cut) => {
      const text = ALL_EVENTS.replaceAll("\n", cut.lineEnd);
      const upstream = respondCut(text, cut);
      const response = await receive([upstream, resumeStream], {
        kind: RouteKind.streaming,
        isResumable: cut.isResumable,
      });
      const body = textOf(response).replaceAll(/\r\n|\r/g, "\n");
      if (body !== ALL_EVENTS) {
        expect(claimsCompleteness(response)).toBe(false);
        expect(ALL_EVENTS.startsWith(body)).toBe(true);
        // Only a cut between events, with an orderly end, leaves no trace.
        const isTraceless = cut.framing === "connection" && !cut.isReset &&
          /^(id: \d\ndata: e\d\n\n?)+$/.test(body);
        expect(response.isReset || isFailure(response) || isTraceless)
          .toBe(true);
      }
    }),
    { numRuns: 60 },
  );
});

/** Responds with a part of a text, in a framing, and ends the connection. */
function respondCut(
  text: string,
  cut: { framing: string; share: number; isReset: boolean },
): TestResponder {
  return ({ message }, socket) => {
    const framings: Record<string, string> = {
      length: `Content-Length: ${text.length}\r\n`,
      chunked: "Transfer-Encoding: chunked\r\n",
      connection: "",
    };
    const body = text.slice(0, Math.floor(text.length * cut.share));
    const isInChunks = cut.framing === "chunked" && body !== "";
    socket.write(
      head(message.headers["x-attempt"], framings[cut.framing]) +
        (isInChunks ? `${body.length.toString(16)}\r\n${body}\r\n` : body),
    );
    const end = () => cut.isReset ? socket.resetAndDestroy() : socket.end();
    setTimeout(end, 10);
  };
}
