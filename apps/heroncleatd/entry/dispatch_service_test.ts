import { Agent, createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { createFault } from "@heroncleat/base";
import * as fc from "fast-check";
import { BodyMemory } from "../common/body_memory.ts";
import { dispatchService } from "./dispatch_service.ts";
import { UpstreamStatements } from "@heroncleat/serving";
import type { EntryParts } from "./entry_parts.ts";
import type { ServiceCall } from "./service_call.ts";

const RUNS = Number(process.env["FUZZ_RUNS"] ?? 1) * 700;

/** Behaviours of a service for one call. */
const BEHAVIOURS = [
  "answer",
  "refuse",
  "refuse another attempt",
  "fail",
  "cut before the answer",
  "cut the answer",
  "cut the body",
  "answer until the end",
  "reset the answer until the end",
  "late",
  "down",
] as const;

type Behaviour = typeof BEHAVIOURS[number];

/** Tokens of the attempts that services ran; the test's oracle. */
const executedAttempts: string[] = [];
let plannedBehaviours: Behaviour[] = [];
/** Set while the services announce that they leave. */
let departure: { reclaimedAt: number | undefined } | undefined;
const agent = new Agent({ keepAlive: true });
const servers: Server[] = [];

beforeAll(async () => {
  for (let index = 0; index < 3; index += 1) {
    const server = createServer((request, response) => {
      const attempt = String(request.headers["heroncleat-attempt"]);
      const behaviour = plannedBehaviours[index]!;
      if (behaviour === "cut the body") {
        // Some bytes arrived, so the service may act on them.
        executedAttempts.push(attempt);
        request.socket.destroy();
        return;
      }
      request.resume().on("end", () => {
        if (behaviour === "refuse") {
          response.writeHead(503, { "heroncleat-not-run": attempt }).end();
          return;
        }
        if (behaviour === "refuse another attempt") {
          executedAttempts.push(attempt);
          response.writeHead(503, { "heroncleat-not-run": "other" }).end();
          return;
        }
        if (behaviour === "fail") {
          executedAttempts.push(attempt);
          response.writeHead(500).end();
          return;
        }
        executedAttempts.push(attempt);
        if (behaviour === "cut before the answer") {
          response.destroy();
        } else if (behaviour === "cut the answer") {
          response.writeHead(200, { "content-length": 100 });
          response.write("half", () => response.destroy());
        } else if (behaviour === "answer until the end") {
          request.socket.end("HTTP/1.1 200 OK\r\n\r\ndone");
        } else if (behaviour === "reset the answer until the end") {
          const { socket } = request;
          socket.write(
            "HTTP/1.1 200 OK\r\n\r\nhalf",
            () => socket.resetAndDestroy(),
          );
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

afterAll(() => {
  agent.destroy();
  for (const server of servers) {
    server.closeAllConnections();
    server.close();
  }
});

/** Creates the entry parts that a call uses, with the services as upstreams. */
function createParts(): EntryParts {
  const send = (message: Record<string, unknown>) => {
    if (message["kind"] !== "route") {
      return true;
    }
    const { exclude } = message["request"] as { exclude: string[] };
    const index = [0, 1, 2].find((each) => !exclude.includes(`s${each}`));
    const reply = message["reply"] as (answer: unknown) => void;
    if (index === undefined) {
      const fault = createFault("no_upstream", "No upstream is left.");
      reply({ kind: "unroutable", fault });
      return true;
    }
    const { port } = servers[index]!.address() as AddressInfo;
    const address = plannedBehaviours[index] === "down"
      ? "127.0.0.1:1"
      : `127.0.0.1:${port}`;
    reply({ kind: "chosen", choice: { upstream: `s${index}`, address } });
    return true;
  };
  return {
    context: {
      clock: { now: () => performance.now(), steady: () => 0 },
      instanceIdOf: (upstream: string) => upstream,
      isDepartingUpstream: () => departure !== undefined,
      reclaimedAt: () => departure?.reclaimedAt,
      // The services of this test break connections but don't crash.
      crashes: {
        waitForProbe: () => Promise.resolve(),
        status: () => "unsuspected",
        trackCopy: () => () => {},
        recordCompletion: () => {},
        recordBrokenConnection: () => {},
      },
      statements: new UpstreamStatements(() => 0),
      statementWatcher: { recordResponse: () => {} },
      services: agent,
      bodies: new BodyMemory({ steady: () => 0 }),
      entry: { connect_timeout: 300 },
      lease: { isValid: true },
    },
    dispatch: { send },
  } as unknown as EntryParts;
}

let callCount = 0;
function createCall(isIdempotent: boolean): ServiceCall {
  callCount += 1;
  return {
    identity: {
      attempt: `c${callCount}`,
      workspace: "bistro",
      service: "booking",
      size: 0,
      digest: () => `c${callCount}`,
      parts: () => [],
    },
    routed: {
      id: `c${callCount}`,
      workspace: "bistro",
      model: "",
      service: "booking",
      method: "POST",
      path: "/confirm",
      prefix: [],
      promptTokens: 0,
      isContinued: false,
      exclude: [],
    },
    token: `call-${callCount}`,
    contentType: "text/plain",
    body: Buffer.from("four at seven"),
    key: `key-${callCount}`,
    isIdempotent,
    deadlineAt: performance.now() + 40,
  };
}

describe("a call to failing services", () => {
  test("is never reported as not run when it ran, and never runs twice", async () => {
    const outcomeCounts = new Map<string, number>();
    let unframedCount = 0;
    const parts = createParts();
    await fc.assert(
      fc.asyncProperty(
        fc.array(fc.constantFrom(...BEHAVIOURS, "refuse", "down", "refuse"), {
          minLength: 3,
          maxLength: 3,
        }),
        fc.boolean(),
        async (behaviours, isIdempotent) => {
          plannedBehaviours = behaviours;
          const call = createCall(isIdempotent);
          const outcome = await dispatchService(parts, call);
          const ownAttempts = executedAttempts.filter((attempt) =>
            attempt.startsWith(`${call.token}#`)
          );
          if (outcome.kind === "not_run") {
            expect(ownAttempts).toEqual([]);
            expect(outcome.fault.run).toBe("not-run");
          }
          if (!isIdempotent) {
            expect(ownAttempts.length).toBeLessThanOrEqual(1);
          }
          if (outcome.kind === "answered" && outcome.outcome.status === 200) {
            expect(outcome.outcome.body).toBe(
              Buffer.from("done").toString("base64"),
            );
            unframedCount += outcome.outcome.isUnframed ? 1 : 0;
          }
          outcomeCounts.set(
            outcome.kind,
            (outcomeCounts.get(outcome.kind) ?? 0) + 1,
          );
        },
      ),
      { numRuns: RUNS, seed: 31 },
    );
    for (const kind of ["answered", "not_run", "unknown"]) {
      expect(outcomeCounts.get(kind)).toBeGreaterThan(20);
    }
    expect(unframedCount).toBeGreaterThan(0);
  });
});

// Guards against responses that end as complete when a VM is reclaimed.
test.each<[string, number | undefined, string]>([
  ["at an unknown time", undefined, "answered"],
  ["long after its process ended", 60_000, "answered"],
  ["as its process ended", 0, "unknown"],
])(
  "a response without a length of a service whose VM is reclaimed %s",
  async (_name, reclaimedAt, kind) => {
    const exiting = createServer((request) => {
      exiting.close();
      request.socket.end("HTTP/1.1 200 OK\r\n\r\nhalf");
    });
    await new Promise<void>((resolve) => exiting.listen(0, resolve));
    const [first] = servers.splice(0, 1, exiting);
    departure = { reclaimedAt };
    plannedBehaviours = ["answer until the end", "down", "down"];
    const outcome = await dispatchService(createParts(), createCall(false));
    departure = undefined;
    servers.splice(0, 1, first!);
    expect(outcome.kind).toBe(kind);
  },
);
