import { type OutgoingHttpHeaders, request } from "node:http";
import { RouteKind } from "@heroncleat/serving";
import { waitUntil } from "../../hub/wait_until.ts";
import { relayGrants } from "../relay/relay_grants.ts";
import { relayHeaders } from "../relay/relay_headers.ts";
import { RelayRefusal } from "../relay/relay_refusal.ts";
import { testGateway } from "../test_gateway.ts";
import { testHeaderNames as names } from "../test_header_names.ts";
import { TestUpstream } from "../test_upstream.ts";

const HOST = "127.0.0.82";
const PORT = 25_581;
const RELAY_PORT = PORT + 2;
const CONTROL = "hub:1";
const GRACE_PERIOD_MS = 10_000;
const TIMEOUT_MS = 5000;

/** Requests that the upstream has got, answered by a call. */
const held: (() => void)[] = [];

type Reply = { readonly status: number; readonly refusal: unknown };

async function send(
  port: number,
  headers: OutgoingHttpHeaders,
): Promise<Reply> {
  return await new Promise((resolve, reject) => {
    const outgoing = request({
      host: HOST,
      port,
      agent: false,
      headers: { host: "inn.example", ...headers },
    }, (response) => {
      response.resume();
      const refusal = response.headers[relayHeaders.refusal];
      resolve({ status: response.statusCode!, refusal });
    });
    outgoing.once("error", reject);
    outgoing.end();
  });
}

async function sendRelayed(attempt: string): Promise<Reply> {
  const grant = relayGrants.sign({
    entry: "other",
    service: "desk",
    workspace: undefined,
    documentVersion: 1,
    excluded: [],
    isUsageCounted: false,
  }, {
    secret: "s",
    request: { attempt, method: "GET", target: "/", body: Buffer.alloc(0) },
  });
  return await send(RELAY_PORT, {
    [names.attempt]: attempt,
    [relayHeaders.grant]: grant,
  });
}

// Guards against requests that other entries send to one that has failed.
test("an entry that has failed refuses requests that other entries pass on", async () => {
  const upstream = await TestUpstream.start(({ message }, socket) => {
    held.push(() =>
      socket.write(
        `HTTP/1.1 200 OK\r\n${names.attempt}: ` +
          `${message.headers[names.attempt]}\r\n` +
          `${names.digest}: d\r\nContent-Length: 2\r\n\r\nok`,
      )
    );
  });
  const gateway = await testGateway.start({
    address: `${HOST}:${PORT}`,
    noticeAddress: `${HOST}:${PORT + 1}`,
    relayAddress: `${HOST}:${RELAY_PORT}`,
    gracePeriod: GRACE_PERIOD_MS,
    control: CONTROL,
    pool: testGateway.createPool(testGateway.createReply({
      address: `${HOST}:${PORT}`,
      control: CONTROL,
      upstreams: [testGateway.createRecord({ address: upstream.address })],
      document: testGateway.createDocument([
        testGateway.createRoute({
          kind: RouteKind.idempotent,
          timeout: TIMEOUT_MS,
        }),
      ]),
    })),
  });
  await waitUntil(() => gateway.isReady());
  const inFlight = [send(PORT, { [names.attempt]: "a1" }), sendRelayed("a2")];
  await waitUntil(() => held.length === inFlight.length);
  const stopped = gateway.stopAfterFailure();
  let late: Reply | undefined;
  void sendRelayed("a3").then((reply) => late = reply);
  await waitUntil(() => late !== undefined || held.length > inFlight.length);
  for (const answer of held) {
    answer();
  }
  expect((await Promise.all(inFlight)).map(({ status }) => status))
    .toEqual([200, 200]);
  await stopped;
  await waitUntil(() => late !== undefined);
  upstream.close();
  expect(late).toEqual({ status: 503, refusal: RelayRefusal.leaving });
});
