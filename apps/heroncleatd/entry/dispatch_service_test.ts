import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createFault } from "@heroncleat/base";
import * as fc from "fast-check";
import { Agent } from "undici";
import type { EntryParts } from "./entry_parts.ts";
import type { ServiceCall } from "./service_call.ts";
import { dispatchService } from "./dispatch_service.ts";

const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 700;

/** What a service does with one call. */
const BEHAVIOURS = [
  "answer",
  "refuse",
  "refuse another attempt",
  "fail",
  "cut before the answer",
  "cut the answer",
  "cut the body",
  "late",
  "down",
] as const;

type Behaviour = typeof BEHAVIOURS[number];

/** Which calls each attempt token was run for; the oracle. */
const runs: string[] = [];
let plan: Behaviour[] = [];
const agent = new Agent({ connect: { timeout: 300 } });
const servers: Server[] = [];

beforeAll(async () => {
  for (let place = 0; place < 3; place += 1) {
    const server = createServer((request, response) => {
      const attempt = String(request.headers["heroncleat-attempt"]);
      const behaviour = plan[place]!;
      if (behaviour === "cut the body") {
        // The first bytes came; whether they are acted on is unknown.
        runs.push(attempt);
        request.socket.destroy();
        return;
      }
      request.resume().on("end", () => {
        if (behaviour === "refuse") {
          response.writeHead(503, { "heroncleat-not-run": attempt }).end();
          return;
        }
        if (behaviour === "refuse another attempt") {
          runs.push(attempt);
          response.writeHead(503, { "heroncleat-not-run": "other" }).end();
          return;
        }
        if (behaviour === "fail") {
          runs.push(attempt);
          response.writeHead(500).end();
          return;
        }
        runs.push(attempt);
        if (behaviour === "cut before the answer") {
          response.destroy();
        } else if (behaviour === "cut the answer") {
          response.writeHead(200, { "content-length": 100 });
          response.write("half", () => response.destroy());
        } else if (behaviour === "late") {
          setTimeout(() => response.end("late"), 60);
        } else {
          response.end("done");
        }
      });
    });
    await new Promise<void>((resolve) => server.listen(0, resolve));
    servers.push(server);
  }
});

afterAll(async () => {
  await agent.destroy();
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

/** The parts of an entry that a call needs, with the services as upstreams. */
function createParts(): EntryParts {
  const send = (message: Record<string, unknown>) => {
    if (message["kind"] !== "route") {
      return true;
    }
    const { exclude } = message["request"] as { exclude: string[] };
    const place = [0, 1, 2].find((each) => !exclude.includes(`s${each}`));
    const reply = message["reply"] as (answer: unknown) => void;
    if (place === undefined) {
      const fault = createFault("no_upstream", "None is left.");
      reply({ kind: "unroutable", fault });
      return true;
    }
    const { port } = servers[place]!.address() as AddressInfo;
    const address = plan[place] === "down"
      ? "127.0.0.1:1"
      : `127.0.0.1:${port}`;
    reply({ kind: "chosen", choice: { upstream: `s${place}`, address } });
    return true;
  };
  return {
    context: {
      clock: { now: () => performance.now(), steady: () => 0 },
      instanceIdOf: (upstream: string) => upstream,
      isDepartingUpstream: () => false,
      // The services of this test break off answers and stay.
      crashes: {
        decided: () => Promise.resolve(),
        standing: () => "unsuspected",
        begin: () => () => {},
        noteAnswer: () => {},
        noteBreak: () => {},
      },
      upstreams: agent,
      lease: { isValid: true },
    },
    dispatch: { send },
  } as unknown as EntryParts;
}

let calls = 0;
function createCall(isIdempotent: boolean): ServiceCall {
  calls += 1;
  return {
    routed: {
      id: `c${calls}`,
      workspace: "bistro",
      model: "",
      service: "booking",
      method: "POST",
      path: "/confirm",
      prefix: [],
      promptTokens: 0,
      exclude: [],
    },
    token: `call-${calls}`,
    contentType: "text/plain",
    body: Buffer.from("four at seven"),
    key: `key-${calls}`,
    isIdempotent,
    deadlineAt: performance.now() + 40,
  };
}

describe("a call to services that fail in any way", () => {
  test("is never said to be not run when it ran, nor run twice", async () => {
    const seen = new Map<string, number>();
    const parts = createParts();
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.constantFrom(...BEHAVIOURS, "refuse", "down", "refuse"), {
          minLength: 3,
          maxLength: 3,
        }),
        fc.boolean(),
        async (behaviours, isIdempotent) => {
          plan = behaviours;
          const call = createCall(isIdempotent);
          const outcome = await dispatchService(parts, call);
          const own = runs.filter((attempt) =>
            attempt.startsWith(`${call.token}#`)
          );
          if (outcome.kind === "not_run") {
            expect(own).toEqual([]);
            expect(outcome.fault.run).toBe("not-run");
          }
          if (!isIdempotent) {
            expect(own.length).toBeLessThanOrEqual(1);
          }
          if (outcome.kind === "answered" && outcome.outcome.status === 200) {
            expect(outcome.outcome.body).toBe(
              Buffer.from("done").toString("base64"),
            );
          }
          seen.set(outcome.kind, (seen.get(outcome.kind) ?? 0) + 1);
        },
      ),
      { numRuns: RUNS, seed: 31 },
    );
    for (const kind of ["answered", "not_run", "unknown"]) {
      expect(seen.get(kind)).toBeGreaterThan(20);
    }
  });
});
