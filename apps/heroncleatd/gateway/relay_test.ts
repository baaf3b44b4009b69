import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { createSystemClock } from "@heroncleat/base";
import { RouteKind } from "@heroncleat/serving";
import type { AttemptOptions } from "./attempt_options.ts";
import type { CallerRequest } from "./caller_request.ts";
import { createTestContext } from "./create_test_context.ts";
import { Relay } from "./relay.ts";
import { relayHeaders } from "./relay_headers.ts";
import { RelayRefusal } from "./relay_refusal.ts";
import { testHeaderNames as names } from "./test_header_names.ts";
import { UpstreamAgent } from "./upstream_agent.ts";

const closers: (() => void)[] = [];
afterEach(() => {
  for (const close of closers.splice(0)) {
    close();
  }
});

const call: CallerRequest = {
  attempt: "a1",
  method: "GET",
  target: "/",
  rawHeaders: ["Host", "h"],
  headers: {},
  body: Buffer.alloc(0),
  route: {
    name: "r",
    host: "h",
    pathPrefix: "/",
    kind: RouteKind.idempotent,
    targets: [{ service: "desk", weight: 1 }],
    timeout: 1000,
    latencyObjective: 100,
    priority: 1,
    maxAttempts: 2,
    isPublic: true,
    isResumable: false,
  },
  service: "desk",
  documentVersion: 1,
  workspace: undefined,
  prompt: undefined,
  size: 0,
  objective: 100,
  arrivedAt: 0,
  deadline: Infinity,
  identity: {
    attempt: "a1",
    workspace: "",
    service: "desk",
    size: 0,
    digest: () => "d",
  },
  signal: new AbortController().signal,
};

/** Starts the only other entry, which refuses the first request it gets. */
async function createRelay(firstRefusal: RelayRefusal): Promise<Relay> {
  let count = 0;
  const server = createServer((_message, response) => {
    count += 1;
    response.setHeader(names.attempt, "a1");
    response.setHeader(names.digest, "d");
    if (count === 1) {
      response.setHeader(names.notRun, "1");
      response.setHeader(relayHeaders.refusal, firstRefusal);
      response.writeHead(503);
    }
    response.end();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const agent = new UpstreamAgent(() => 2, connect);
  closers.push(() => server.close(), () => agent.destroy());
  const entry = { zone: "b", region: "r", address: "127.0.0.1:1" };
  return new Relay({
    name: "here",
    zone: "a",
    region: "r",
    port: (server.address() as AddressInfo).port,
    secret: "s",
    listEntries: () => [{ ...entry, name: "other" }],
    agent,
    names,
    clock: createSystemClock(),
    metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
    random: () => 0,
  });
}

const options: AttemptOptions = {
  context: createTestContext([], (close) => closers.push(close)),
  excluded: new Set(),
  lastEvent: undefined,
  version: undefined,
  mayBeRefused: false,
  mayHaveRun: false,
  isUsageCounted: false,
  unopened: 0,
  waitUntil: Infinity,
  signal: call.signal,
};

test.each<[string, RelayRefusal, string]>([
  ["had no upstream for one request", RelayRefusal.noUpstream, "sent"],
  ["is busy", RelayRefusal.overloaded, "sent"],
  ["reaches no upstream itself", RelayRefusal.unreachable, "refused"],
])(
  "after an entry that %s (%s), the next request is %s",
  async (_name, refusal, next) => {
    const relay = await createRelay(refusal);
    expect(await relay.send(call, options))
      .toMatchObject({ kind: "refused", refusal });
    const result = await relay.send(call, options);
    expect(result.kind).toBe(next);
    if (result.kind === "sent" && result.response.kind === "head") {
      result.response.message.resume();
    }
  },
);
