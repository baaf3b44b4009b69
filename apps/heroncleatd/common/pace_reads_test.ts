import { once } from "node:events";
import {
  createServer,
  type RequestListener,
  type Server,
  type ServerResponse,
} from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setImmediate as nextTurn } from "node:timers/promises";
import { waitUntil } from "../hub/wait_until.ts";
import { paceReads } from "./pace_reads.ts";

const KIB = 1024;
/** More than what is parsed as it is read. */
const WAITING_BYTES = 2000;
const FLOOD_CONNECTIONS = 20;
/** 50,000 chunks. */
const FLOOD =
  "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" +
  "1\r\nx\r\n".repeat(50 * KIB) + "0\r\n\r\n";

let server: Server;
let served: string[];

beforeEach(async () => {
  served = [];
  server = createServer(async (incoming, response) => {
    let body = "";
    for await (const chunk of incoming.setEncoding("latin1")) {
      body += chunk;
    }
    served.push(body.length > KIB ? "flood" : "ordinary");
    response.end(body);
  });
  paceReads(server);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
});

afterEach(() => {
  server.close();
  server.closeAllConnections();
});

// Guards against reads of thousands of chunks that others wait for.
test("an ordinary request isn't parsed behind those that hold thousands of chunks", async () => {
  const floods = Array.from({ length: FLOOD_CONNECTIONS }, () => send(FLOOD));
  const ordinary = send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  await Promise.all([ordinary, ...floods]);
  expect(served.indexOf("ordinary")).toBeLessThan(FLOOD_CONNECTIONS / 4);
});

// Guards against bytes that are lost, repeated or reordered.
test.each([1, 7, 100, 5000, 300_000])(
  "pipelined bodies in chunks of %s bytes arrive as they were sent",
  async (chunkBytes) => {
    const bytes = Math.min(40_000, chunkBytes * 5000);
    const text = Array.from(
      { length: Math.max(bytes, chunkBytes) },
      (_, index) => String.fromCharCode(97 + index * 7 % 26),
    ).join("");
    let request =
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (let from = 0; from < text.length; from += chunkBytes) {
      const chunk = text.slice(from, from + chunkBytes);
      request += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
    }
    request += "0\r\n\r\n";
    const received = await send(request.repeat(3), { responses: 3 });
    expect(received.split(text)).toHaveLength(4);
  },
);

// Guards against bodies that cost more processor time, as they are split.
test("bodies of a stated length arrive as they were sent, in few pieces", async () => {
  let pieces = 0;
  server.prependListener("request", (incoming) => {
    incoming.prependListener("data", () => pieces += 1);
  });
  const text = Array.from(
    { length: 300_000 },
    (_, index) => String.fromCharCode(97 + index * 7 % 26),
  ).join("");
  const request =
    `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
  const received = await send(request.repeat(3), { responses: 3 });
  expect(received.split(text)).toHaveLength(4);
  expect(pieces).toBeLessThan(3 * 300_000 / (16 * KIB));
});

// Guards against a caller that closes its half before its bytes are parsed.
test("what came before a FIN is served", async () => {
  const received = await send(FLOOD, { ends: true });
  expect(received).toMatch(/^HTTP\/1\.1 200 /);
});

// Guards against requests that fill the process, as their responses wait in line.
test("few of the requests that a caller pipelines are in progress at once", async () => {
  const inProgress: ServerResponse[] = [];
  let largest = 0;
  server.removeAllListeners("request");
  paceReads(server);
  server.on("request", (incoming, response) => {
    incoming.resume();
    inProgress.push(response);
    largest = Math.max(largest, inProgress.length);
    setTimeout(() => inProgress.shift()?.end("done"), 1);
  });
  const requests = 500;
  const text = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(requests);
  const received = await send(text, { responses: requests });
  expect(received.split("done")).toHaveLength(requests + 1);
  expect(largest).toBeLessThan(100);
});

// Guards against waiting bytes that fill the process.
test("connections that send much beyond the limit of waiting bytes are closed and counted", async () => {
  let refusals = 0;
  await replaceServer((incoming, response) => {
    incoming.resume();
    incoming.once("end", () => response.end("served"));
  }, {
    onRefusal: () => refusals += 1,
    maxWaitingBytes: () => 200 * KIB,
  });
  const floods = Array.from({ length: FLOOD_CONNECTIONS }, () => send(FLOOD));
  const ordinary = await send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  const answers = await Promise.all(floods);
  expect(ordinary).toContain("served");
  expect(refusals).toBeGreaterThan(0);
  expect(answers.filter((answer) => answer === "")).toHaveLength(refusals);
});

// Guards against a stop that resets requests which were read and wait their turn.
test("closing idle connections keeps those whose next request waits to be parsed", async () => {
  const accepted: Socket[] = [];
  server.close();
  server = createServer((incoming, response) => {
    incoming.resume();
    incoming.once("end", () => response.end("served"));
  });
  paceReads(server);
  server.on("connection", (socket) => accepted.push(socket));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  let received = "";
  socket.on("data", (bytes) => received += bytes);
  socket.on("error", () => {});
  const hasClosed = once(socket, "close");
  socket.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  await once(socket, "data");
  const bytesBefore = accepted[0]!.bytesRead;
  const floods = Array.from(
    { length: FLOOD_CONNECTIONS },
    () => connect(port, "127.0.0.1").on("error", () => {}),
  );
  for (const flood of floods) {
    flood.write(FLOOD);
  }
  while (accepted.every(({ bytesRead }) => bytesRead < 64 * KIB)) {
    await nextTurn();
  }
  socket.write(
    `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${WAITING_BYTES}\r\n\r\n` +
      "b".repeat(WAITING_BYTES),
  );
  while (accepted[0]!.bytesRead === bytesBefore) {
    await nextTurn();
  }
  server.closeIdleConnections();
  await Promise.race([hasClosed, once(socket, "data")]);
  expect(received.split("served")).toHaveLength(3);
  socket.destroy();
  floods.forEach((flood) => flood.destroy());
});

// Guards against answers of accepted requests that are lost, as what follows them
// on their connection finds no room.
test("a connection with requests under way is closed behind their responses for lack of room", async () => {
  const outcomes: string[] = [];
  const inProgress: ServerResponse[] = [];
  let received = 0;
  await replaceServer((incoming, response) => {
    incoming.resume();
    incoming.once("end", () => received += 1);
    inProgress.push(response);
  }, {
    onRefusal: (outcome) => outcomes.push(outcome),
    maxWaitingBytes: () => 0,
  });
  const { port } = server.address() as AddressInfo;
  const caller = connect(port, "127.0.0.1");
  const isClosed = once(caller, "close").catch(() => {});
  let answers = "";
  caller.on("data", (bytes) => answers += bytes);
  caller.on("error", () => {});
  caller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2));
  await waitUntil(() => received === 2);
  caller.write(FLOOD);
  await waitUntil(() => outcomes.length > 0);
  inProgress[0]!.end("served");
  await waitUntil(() => answers.endsWith("served"));
  inProgress[1]!.end("served");
  await isClosed;
  expect(answers.split("served")).toHaveLength(3);
  expect(inProgress).toHaveLength(2);
  expect(outcomes).toEqual(["stopped_waiting"]);
});

/** Starts another server in place of the one that runs. */
async function replaceServer(
  onRequest: RequestListener,
  options: Parameters<typeof paceReads>[1],
): Promise<void> {
  server.close();
  server = createServer(onRequest);
  paceReads(server, options);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
}

/** Sends bytes at once; resolves once the responses have arrived. */
function send(
  text: string,
  { responses = 1, ends = false }: { responses?: number; ends?: boolean } = {},
): Promise<string> {
  const { port } = server.address() as AddressInfo;
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  let received = "";
  return new Promise((resolve) => {
    socket.on("data", (bytes) => {
      received += bytes;
      const isComplete = received.split("HTTP/1.1 200").length > responses &&
        (received.endsWith("0\r\n\r\n") || /Content-Length/.test(received));
      if (isComplete) {
        // The rest of the last response, if any, follows within this time.
        setTimeout(() => {
          socket.destroy();
          resolve(received);
        }, 50);
      }
    });
    socket.on("end", () => resolve(received));
    socket.on("error", () => resolve(received));
    if (ends) {
      socket.end(text);
    } else {
      socket.write(text);
    }
  });
}
