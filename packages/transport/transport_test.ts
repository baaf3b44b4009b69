import { connect } from "node:net";
import * as fc from "fast-check";
import { frameCodec } from "./frame_codec.ts";
import { PeerPool, PeerServer } from "./mod.ts";

const ADDRESS = "127.0.0.1:26010";
const SECRET = "a shared secret of the system";
const problems: string[] = [];
const server = new PeerServer({
  address: ADDRESS,
  secret: SECRET,
  onProblem: (message) => problems.push(message),
});
server.serve({
  echo: (parameters) => parameters,
  fail: () => {
    throw new Error("it failed");
  },
  never: () => new Promise(() => {}),
});

beforeAll(() => server.listen());
afterAll(() => server.close());

function createPool(secret = SECRET): PeerPool {
  return new PeerPool({ secret, connectTimeout: 500, localHost: "" });
}

describe("PeerPool and PeerServer", () => {
  test("calls return results, errors and timeouts", async () => {
    const pool = createPool();
    const call = (method: string, timeout = 1000) =>
      pool.call(ADDRESS, method, { parameters: { n: 1 }, timeout });
    expect(await call("echo")).toEqual({ n: 1 });
    await expect(call("fail")).rejects.toThrow("it failed");
    await expect(call("missing")).rejects.toThrow();
    await expect(call("never", 100)).rejects.toThrow();
    expect(await call("echo")).toEqual({ n: 1 });
    pool.close();
  });

  test("a peer without the shared secret is refused", async () => {
    const pool = createPool("a wrong secret of some length");
    const options = { parameters: {}, timeout: 1000 };
    await expect(pool.call(ADDRESS, "echo", options)).rejects.toThrow();
    expect(problems.join()).toContain("Remedy:");
    pool.close();
  });

  test("arbitrary bytes on one connection don't affect another", async () => {
    await fc.assert(
      fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), async (bytes) => {
        await new Promise<void>((resolve) => {
          const socket = connect(26010, "127.0.0.1");
          socket.on("error", () => resolve());
          socket.on("close", () => resolve());
          socket.on("data", () => socket.end(bytes));
        });
      }),
      { numRuns: 150, seed: 3 },
    );
    const pool = createPool();
    const options = { parameters: { still: "here" }, timeout: 1000 };
    expect(await pool.call(ADDRESS, "echo", options)).toEqual({
      still: "here",
    });
    pool.close();
  });
});

describe("frameCodec", () => {
  test("decodes chunks of any size and refuses invalid frames", () => {
    fc.assert(
      fc.property(
        fc.array(fc.uint8Array({ maxLength: 40 }), { maxLength: 8 }),
        fc.array(fc.nat(30), { minLength: 1, maxLength: 40 }),
        (payloads, chunkSizes) => {
          const bytes = Buffer.concat(
            payloads.map((payload) => frameCodec.encode(Buffer.from(payload))),
          );
          const decodedPayloads: Buffer[] = [];
          let rest: Buffer = Buffer.alloc(0);
          let offset = 0;
          for (let round = 0; offset < bytes.length; round += 1) {
            const step = 1 + chunkSizes[round % chunkSizes.length]!;
            const chunk = bytes.subarray(offset, offset + step);
            offset += step;
            const decoded = frameCodec.decode(
              Buffer.concat([rest, chunk]),
              100,
            );
            if (decoded.kind === "broken") {
              throw new Error(decoded.reason);
            }
            rest = decoded.rest;
            decodedPayloads.push(...decoded.payloads);
          }
          expect(decodedPayloads.map((each) => [...each]))
            .toEqual(payloads.map((each) => [...each]));
        },
      ),
      { numRuns: 300, seed: 2 },
    );
    const large = frameCodec.encode(Buffer.alloc(101));
    expect(frameCodec.decode(large, 100).kind).toBe("broken");
    const damaged = frameCodec.encode(Buffer.from("hello"));
    damaged[9]! ^= 1;
    expect(frameCodec.decode(damaged, 100).kind).toBe("broken");
  });
});
