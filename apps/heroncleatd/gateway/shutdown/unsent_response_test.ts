import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as pause,
} from "node:timers/promises";
import { createSystemClock } from "@heroncleat/base";
import { UnsentResponses } from "../../common/unsent_responses.ts";
import { endResponse } from "../responses/end_response.ts";
import { InFlightRequests } from "./in_flight_requests.ts";
import { RequestProgress } from "./request_progress.ts";
import { shutDownGracefully } from "./shut_down_gracefully.ts";

const ACCEPT_SHARE = 0.75;
const GRACE_PERIOD_MS = 2000;
/** After idle connections are closed, before the end of the grace period. */
const READ_AFTER_MS = 1700;
/** Less than the buffer of a response, so that nobody waits for its caller. */
const PIECE = Buffer.alloc(8000, "x");
/** More than the system's buffers hold. */
const MAX_PIECES = 10_000;
const LAST_PIECE = Buffer.from("the end");

const clock = createSystemClock();
const inFlight = new InFlightRequests();
let server: Server;
let unsent: UnsentResponses;
let caller: Socket;

/** Writes until the connection takes no more, and ends with a few bytes. */
async function respond(response: ServerResponse): Promise<void> {
  const end = inFlight.add({
    request: "a1",
    arrivedAt: clock.steady(),
    response,
    progress: new RequestProgress(),
  });
  response.writeHead(200);
  for (let count = 0; count < MAX_PIECES; count += 1) {
    response.write(PIECE);
    await nextTurn();
    if (response.socket!.writableLength > 0) {
      break;
    }
  }
  await endResponse(response, LAST_PIECE);
  end();
}

beforeEach(async () => {
  server = createServer((_message, response) => void respond(response));
  unsent = new UnsentResponses(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  caller = connect(port, "127.0.0.1");
  caller.pause();
  caller.write("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
});

afterEach(() => {
  caller.destroy();
  server.close();
  server.closeAllConnections();
});

// Guards against responses that lose their end, as connections on which it
// isn't sent yet look idle.
test("a shutdown waits for the end of a response that its caller is slow to read", async () => {
  const signalledAt = clock.steady();
  const endsAt = signalledAt + GRACE_PERIOD_MS;
  const stopped = shutDownGracefully({
    server,
    relayServer: createServer(),
    clock,
    closesAt: signalledAt + GRACE_PERIOD_MS * ACCEPT_SHARE,
    endsAt,
    exitsAt: endsAt + 100,
    underWay: () => inFlight.size,
    unsent,
    giveUp: () => inFlight.giveUp(),
    breakOff: () => inFlight.breakOff(),
  });
  await pause(READ_AFTER_MS);
  let received = "";
  caller.on("data", (chunk) => received = `${received}${chunk}`.slice(-100));
  caller.resume();
  await stopped;
  await pause(50);
  expect(received).toContain("the end\r\n0\r\n\r\n");
});
