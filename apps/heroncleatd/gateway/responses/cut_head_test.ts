import type { Socket } from "node:net";
import { RouteKind } from "@heroncleat/serving";
import { createTestContext } from "../create_test_context.ts";
import { createTestRequest } from "../create_test_request.ts";
import type { Relay } from "../relay/relay.ts";
import { startTestRelay } from "../relay/start_test_relay.ts";
import { startTestEntry } from "../start_test_entry.ts";
import { forwardStream } from "../streams/forward_stream.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";
import { cutHeads } from "./cut_heads.ts";
import { type RawResponse, readRawResponse } from "./read_raw_response.ts";

const closers: (() => void)[] = [];
const onClose = (close: () => void) => void closers.push(close);
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

const { HEAD, SHAPES } = cutHeads;
const CHUNKED = "Transfer-Encoding: chunked\r\n";
const event = (id: number) => `id: ${id}\ndata: e${id}\n\n`;

const endings: [string, (socket: Socket) => void][] = [
  ["closes at once", (socket) => void socket.end()],
  ["closes later", (socket) => void setTimeout(() => socket.end(), 20)],
  [
    "stops listening",
    (socket) => {
      testUpstreams.get(socket.localPort)!.stopListening();
      setTimeout(() => socket.end(), 20);
    },
  ],
];
const [, closeLater] = endings[1]!;

/** Test upstreams by port. */
const testUpstreams = new Map<number | undefined, TestUpstream>();

/** Sends bytes and ends the connection. */
function send(bytes: string, end = closeLater): TestResponder {
  return (_request, socket) => {
    socket.write(bytes);
    end(socket);
  };
}

/** Responds with the events after the last one that the caller has. */
const resumeStream: TestResponder = ({ message }, socket) => {
  const last = Number(message.headers["last-event-id"] ?? 0);
  const rest = [1, 2, 3].filter((id) => id > last).map(event).join("");
  socket.write(
    `${HEAD}${CHUNKED}\r\n${rest.length.toString(16)}\r\n${rest}\r\n0\r\n\r\n`,
  );
};

/** Streams without events wait for another upstream until then. */
const TIMEOUT_MS = 200;
/** The entry closes each connection; a busy machine may do so late. */
const SILENCE_MS = 4000;

type Setup = {
  readonly kind?: typeof RouteKind[keyof typeof RouteKind];
  readonly isResumable?: boolean;
  /** Whether the first upstream begins to drain during the request. */
  readonly isDraining?: boolean;
  readonly headers?: string;
  readonly relay?: Relay;
};

async function receive(
  responders: readonly TestResponder[],
  { isDraining = false, headers = "", relay, ...setup }: Setup,
): Promise<RawResponse & { readonly status: number }> {
  let startDraining = () => {};
  const upstreams: TestUpstream[] = [];
  for (const respond of responders) {
    const upstream = await TestUpstream.start((request, socket) => {
      startDraining();
      respond(request, socket);
    });
    testUpstreams.set(Number(upstream.address.split(":")[1]), upstream);
    onClose(() => upstream.close());
    upstreams.push(upstream);
  }
  const entry = await startTestEntry({
    kind: RouteKind.streaming,
    timeout: TIMEOUT_MS,
    ...setup,
    upstreams,
    context: relay === undefined ? {} : { relay },
    onCreated: (context) => {
      const { directory, clock } = context;
      if (isDraining) {
        const { record } = directory.get("u0")!;
        startDraining = () =>
          void directory.merge(
            { ...record, sequence: 2, state: "draining" },
            clock.steady(),
          );
      }
      if (relay !== undefined) {
        Object.assign(context.reachability, { isCutOff: () => true });
      }
    },
  }, onClose);
  const response = await readRawResponse(entry, {
    method: "POST",
    headers: `Connection: close\r\n${headers}`,
    silence: SILENCE_MS,
    onClose,
  });
  return { ...response, status: Number(response.head.split(" ")[1]) };
}

const states: [string, boolean][] = [["is ready", false], ["drains", true]];

// Guards against empty streams that look complete as their upstream stopped.
describe.each(states)(
  "a stream without events whose upstream %s",
  (_, isDraining) => {
    test.each(["", ": alive\n\n", "\n"])(
      "isn't complete as its connection ends after %j",
      async (body) => {
        const stopAfterHead = send(`${HEAD}\r\n${body}`);
        const once = await receive([stopAfterHead], { isDraining });
        expect([once.status, once.isReset]).toEqual(
          body === "" ? [502, false] : [200, true],
        );
        const resumed = await receive([stopAfterHead, resumeStream], {
          isDraining,
          isResumable: true,
        });
        expect(resumed.body).toContain(event(3));
        expect(resumed.isReset).toBe(false);
      },
    );
  },
);

const kinds: Setup[] = [
  { kind: RouteKind.idempotent },
  { kind: RouteKind.nonIdempotent },
  {},
  { isResumable: true },
];

// Guards against requests that get no answer, or a cut one, for such a head.
describe.each(states)("a head whose upstream %s", (_, isDraining) => {
  test.each(Object.entries(SHAPES))("cut %s is no response", async (_, cut) => {
    const plays = endings.flatMap(([, end]) =>
      kinds.map((setup) => receive([send(cut, end)], { ...setup, isDraining }))
    );
    for (const { status, head } of await Promise.all(plays)) {
      expect(status).toBeGreaterThanOrEqual(500);
      expect(head).not.toContain("x-digest");
    }
  });
});

test.each(states)(
  "a call's response that ends behind its head doesn't get a length if its upstream %s",
  async (_, isDraining) => {
    for (const kind of [RouteKind.idempotent, RouteKind.nonIdempotent]) {
      const response = await receive([send(`${HEAD}\r\n`)], {
        kind,
        isDraining,
      });
      expect([response.status, response.body]).toEqual([200, ""]);
      expect(response.head).toMatch(/^connection: close$/im);
      expect(response.head).not.toMatch(/content-length|chunked/i);
    }
  },
);

// Guards against streams that can't end, as they broke behind their last event.
test("a stream resumed behind its last event ends once two upstreams agree", async () => {
  const finished = send(`${HEAD}\r\n`);
  const response = await receive([finished, finished], {
    isResumable: true,
    headers: "Last-Event-Id: 3\r\n",
  });
  expect([response.status, response.body, response.isReset])
    .toEqual([200, "", false]);
  const begun = await receive([finished, finished], { isResumable: true });
  expect(begun.status).toBe(502);
});

test("a relayed stream without events isn't complete at either entry", async () => {
  const upstream = await TestUpstream.start(send(`${HEAD}\r\n`));
  onClose(() => upstream.close());
  const context = createTestContext([upstream], onClose);
  const relay = await startTestRelay(
    (_message, response) =>
      void forwardStream(
        createTestRequest({ relayedBy: "here", rawHeaders: ["Host", "h"] }),
        { context, response },
      ),
    onClose,
  );
  const once = await receive([], { relay });
  expect([once.status, once.isReset]).toEqual([502, false]);
  expect(once.head).not.toContain("x-digest");
  expect(upstream.received).toHaveLength(1);
});

describe.each([...Object.entries(SHAPES), ["at its end", `${HEAD}\r\n`]])(
  "a stream that goes on with a head cut %s",
  (_, cut) => {
    const resumable = { isResumable: true };

    test("isn't complete", async () => {
      const begun = [
        `${HEAD}\r\n${event(1)}id`,
        `${HEAD}${CHUNKED}\r\n10\r\n${event(1)}\r\n`,
      ];
      for (const bytes of begun) {
        const response = await receive([send(bytes), send(cut)], resumable);
        expect(response.body).toContain(event(1));
        expect(response.body).not.toContain("\r\n0\r\n");
        expect([response.status, response.isReset]).toEqual([200, true]);
      }
    });

    test("is asked for elsewhere if its caller resumes it", async () => {
      const setup = { ...resumable, headers: "Last-Event-Id: 1\r\n" };
      const alone = await receive([send(cut)], setup);
      expect(alone.status).toBeGreaterThanOrEqual(500);
      const resumed = await receive([send(cut), resumeStream], setup);
      expect(resumed.body).not.toContain(event(1));
      expect(resumed.body).toContain(event(2) + event(3));
      expect(resumed.body).toMatch(/\r\n0\r\n\r\n$/);
    });

    test("is no response of another entry", async () => {
      for (const kind of [RouteKind.nonIdempotent, RouteKind.streaming]) {
        const isWholeCall = cut.endsWith("\r\n\r\n") && cut.includes(" 200 ");
        const relay = await startTestRelay((message) => {
          message.socket.write(cut);
          closeLater(message.socket);
        }, onClose);
        const response = await receive([], { kind, relay });
        expect([kind, cut, response.status]).toEqual([
          kind,
          cut,
          isWholeCall && kind === RouteKind.nonIdempotent ? 200 : 502,
        ]);
      }
    });
  },
);

test.each([
  ["a length of 0", "Content-Length: 0\r\n\r\n"],
  ["a last chunk", `${CHUNKED}\r\n0\r\n\r\n`],
])("a stream without events is complete if it has %s", async (_, framing) => {
  const response = await receive([send(HEAD + framing)], {});
  expect([response.status, response.isReset]).toEqual([200, false]);
  expect(response.body).toBe("0\r\n\r\n");
});
