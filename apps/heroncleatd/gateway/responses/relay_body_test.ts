import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { Duplex } from "node:stream";
import { setImmediate as nextIteration } from "node:timers/promises";
import { relayBody } from "./relay_body.ts";
import { writeTogether } from "./write_together.ts";

/** The caller's connection; each element is one system call. */
class CallerConnection extends Duplex {
  readonly writes: string[] = [];
  isBlocked = false;
  #release = () => {};

  release(): void {
    this.isBlocked = false;
    this.#release();
  }

  override _read(): void {}

  override _writev(
    chunks: { chunk: Buffer }[],
    done: () => void,
  ): void {
    this.writes.push(
      Buffer.concat(chunks.map(({ chunk }) => chunk)).toString(),
    );
    if (this.isBlocked) {
      this.#release = done;
    } else {
      done();
    }
  }
}

function startRelay() {
  const connection = new CallerConnection();
  const request = new IncomingMessage(new Socket());
  request.httpVersionMajor = 1;
  request.httpVersionMinor = 1;
  const response = new ServerResponse(request);
  response.assignSocket(connection as unknown as Socket);
  // The server of a real connection passes this on.
  connection.on("drain", () => response.emit("drain"));
  const message = new IncomingMessage(new Socket());
  writeTogether(response);
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
  const relayed = relayBody(message, { response, transform: (chunk) => chunk });
  return { connection, response, message, relayed };
}

// Guards against several system calls for what an upstream sent at once.
test("what arrives in one iteration of the event loop is sent together", async () => {
  const { connection, response, message, relayed } = startRelay();
  void relayed.then(() => response.end());
  message.push("first\n\n");
  await nextIteration();
  expect(connection.writes).toHaveLength(1);
  expect(connection.writes[0]).toMatch(/^HTTP\/1.1 200 .*first\n\n\r\n$/s);
  message.push("second\n\n");
  await nextIteration();
  expect(connection.writes[1]).toBe("8\r\nsecond\n\n\r\n");
  message.push("last\n\n");
  message.complete = true;
  message.push(null);
  expect(await relayed).toBe(true);
  await nextIteration();
  expect(connection.writes.slice(2)).toEqual(["6\r\nlast\n\n\r\n0\r\n\r\n"]);
});

test("a head without a body is sent in the same iteration", async () => {
  const { connection } = startRelay();
  await nextIteration();
  expect(connection.writes).toHaveLength(1);
});

test("a caller that doesn't read holds the body back", async () => {
  const { connection, message } = startRelay();
  connection.isBlocked = true;
  message.push(Buffer.alloc(connection.writableHighWaterMark, 97));
  await nextIteration();
  expect(message.isPaused()).toBe(true);
  connection.release();
  await nextIteration();
  expect(message.isPaused()).toBe(false);
});

test.each([
  ["breaks", (message: IncomingMessage) => message.destroy(new Error("reset"))],
  ["ends early", (message: IncomingMessage) => message.push(null)],
  ["is abandoned", (message: IncomingMessage) => message.destroy()],
])("a body that %s isn't complete", async (_, interrupt) => {
  const { message, relayed } = startRelay();
  message.push("first\n\n");
  await nextIteration();
  interrupt(message);
  expect(await relayed).toBe(false);
});
