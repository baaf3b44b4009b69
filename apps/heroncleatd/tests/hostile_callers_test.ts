import { readdirSync, readFileSync } from "node:fs";
import { request } from "node:http";
import { Readable } from "node:stream";
import { setTimeout as pause } from "node:timers/promises";
import { splitAddress } from "@heroncleat/base";
import {
  chunkedBody,
  HostileCrowd,
  repeatText,
  statedBody,
} from "@heroncleat/soak";
import { LiveDeployment } from "./live_deployment.ts";

const KIB = 1024;
const MIB = 1024 * KIB;
const MAX_BODY_BYTES = 4 * MIB;
/** Bounds of each process. */
const MAX_MEMORY = 200_000_000;
const MAX_DESCRIPTORS = 700;
const MAX_CONNECTIONS = 500;
const SMALL_CHUNK_BYTES = 100;
const CONTROL = "control-1";
const ENTRY = "entry-1";
const STAY_MS = 3000;
const TRIES = 8;
const RETRY_PAUSE_MS = 500;
const RESPONSE_TIMEOUT_MS = 10_000;
const TEST_TIMEOUT_MS = 150_000;
const HOST_NUMBERS = { control: 50, entry: 51, upstream: 53 };

let live: LiveDeployment | undefined;
let bookings = 0;

afterAll(() => live?.stop());

type Crowd = {
  /** The process that is met. */
  readonly process: typeof CONTROL | typeof ENTRY;
  readonly connections: number;
  readonly pieces: () => Iterable<Buffer>;
  readonly reads?: boolean;
};

/** All connections stay open when their bytes are sent. */
const CROWDS: Readonly<Record<string, Crowd>> = {
  "generations with unfinished bodies": {
    process: ENTRY,
    connections: 100,
    pieces: () =>
      chunkedBody(generation(), {
        bytes: MAX_BODY_BYTES - 64 * KIB,
        chunkBytes: 64 * KIB,
      }),
  },
  "generations with long bodies in chunks of one byte": {
    process: ENTRY,
    connections: 100,
    pieces: () =>
      chunkedBody(generation(), { bytes: 512 * KIB, chunkBytes: 1 }),
  },
  "generations with short bodies in chunks of one byte": {
    process: ENTRY,
    connections: 400,
    pieces: () => chunkedBody(generation(), { bytes: 15_000, chunkBytes: 1 }),
  },
  "generations that announce bodies far over the limit": {
    process: ENTRY,
    connections: 100,
    pieces: () =>
      statedBody(generation(), { bytes: 40 * MIB, statedBytes: 1024 * MIB }),
  },
  "generations that send bodies far over the limit": {
    process: ENTRY,
    connections: 100,
    pieces: () =>
      chunkedBody(generation(), { bytes: 40 * MIB, chunkBytes: 64 * KIB }),
  },
  "calls of services with bodies in chunks of one byte": {
    process: ENTRY,
    connections: 100,
    pieces: () =>
      chunkedBody(head("POST /services/booking/confirm", live!.key), {
        bytes: 512 * KIB,
        chunkBytes: 1,
      }),
  },
  "calls without a key with unfinished bodies": {
    process: ENTRY,
    connections: 30,
    pieces: () =>
      chunkedBody(head("POST /v1/chat/completions"), {
        bytes: 15 * MIB,
        chunkBytes: 64 * KIB,
      }),
  },
  "pipelined reads of the entries whose responses nobody reads": {
    process: ENTRY,
    connections: 60,
    pieces: () => repeatText(`${head("GET /v1/entries")}\r\n`, 1500),
    reads: false,
  },
  "pipelined generations whose responses nobody reads": {
    process: ENTRY,
    connections: 60,
    pieces: () =>
      repeatText(`${generation()}Content-Length: 2\r\n\r\n{}`, 1500),
    reads: false,
  },
  "announcements with unfinished bodies": {
    process: ENTRY,
    connections: 400,
    pieces: () => announcement(live!.deployment.sharedSecret, 60 * KIB),
  },
  "announcements with bodies in chunks of one byte": {
    process: ENTRY,
    connections: 100,
    pieces: () =>
      chunkedBody(
        head("POST /v1/upstreams", live!.deployment.sharedSecret),
        { bytes: 60 * KIB, chunkBytes: 1 },
      ),
  },
  "announcements with a wrong secret and unfinished bodies": {
    process: ENTRY,
    connections: 30,
    pieces: () => announcement("wrong", 15 * MIB),
  },
  "announcements without a secret and with unfinished bodies": {
    process: ENTRY,
    connections: 30,
    pieces: () => announcement("", 15 * MIB),
  },
  "callers with unfinished heads": {
    process: ENTRY,
    connections: 300,
    pieces: () => [
      Buffer.from(generation()),
      Buffer.from(`X: ${"x".repeat(60 * KIB)}`),
    ],
  },
  "idle connections of callers beyond the limit": {
    process: ENTRY,
    connections: 1200,
    pieces: () => [],
  },
  "changes of operators with unfinished bodies": {
    process: CONTROL,
    connections: 200,
    pieces: () =>
      chunkedBody(
        head("POST /v1/operator/changes", live!.deployment.operatorToken),
        { bytes: MIB - 64 * KIB, chunkBytes: 64 * KIB },
      ),
  },
  "changes of operators in chunks of one byte": {
    process: CONTROL,
    connections: 60,
    pieces: () =>
      chunkedBody(
        head("POST /v1/operator/changes", live!.deployment.operatorToken),
        { bytes: 256 * KIB, chunkBytes: 1 },
      ),
  },
  "changes without a token and with unfinished bodies": {
    process: CONTROL,
    connections: 30,
    pieces: () =>
      chunkedBody(head("POST /v1/operator/changes"), {
        bytes: 15 * MIB,
        chunkBytes: 64 * KIB,
      }),
  },
  "changes without a token in chunks of one byte": {
    process: CONTROL,
    connections: 60,
    pieces: () =>
      chunkedBody(head("POST /v1/operator/changes"), {
        bytes: 256 * KIB,
        chunkBytes: 1,
      }),
  },
  "pipelined reads of operators whose responses nobody reads": {
    process: CONTROL,
    connections: 60,
    pieces: () =>
      repeatText(
        `${
          head("GET /v1/operator/configuration", live!.deployment.operatorToken)
        }\r\n`,
        1500,
      ),
    reads: false,
  },
  "idle connections to the operators' API beyond the descriptors": {
    process: CONTROL,
    connections: 1200,
    pieces: () => [],
  },
};

// Guards against callers outside the limits that end, fill or hang a process.
test.each(Object.entries(CROWDS))(
  "%s harm no process of an OpenAI deployment",
  async (_, { process, ...crowd }) => {
    const running = await startDeployment();
    const { operatorAddress } = running.deployment.controls[0]!;
    const address = process === ENTRY
      ? running.callerAddresses[0]!
      : operatorAddress;
    const clients = await HostileCrowd.send({
      ...splitAddress(address),
      ...crowd,
    });
    // What has been sent may still wait in the system's buffers.
    await pause(STAY_MS);
    const descriptors = [ENTRY, CONTROL].map((name) =>
      countDescriptors(running, name)
    );
    clients.leave();
    const status = await requestUntilServed(running);
    const peaks = [ENTRY, CONTROL].map((name) => peakMemory(running, name));
    // A process that has ended has no memory.
    expect(Math.min(...peaks)).toBeGreaterThan(0);
    expect(status).toBe(200);
    expect(Math.max(...peaks)).toBeLessThan(MAX_MEMORY);
    expect(Math.max(...descriptors)).toBeLessThan(MAX_DESCRIPTORS);
  },
  TEST_TIMEOUT_MS,
);

// Guards against limits that refuse a caller who sends small chunks.
test(
  "a body of the largest size in chunks of 100 bytes is served",
  async () => {
    const running = await startDeployment();
    const { host, port } = splitAddress(running.callerAddresses[0]!);
    const status = await new Promise((resolve, reject) => {
      const outgoing = request({
        host,
        port,
        method: "POST",
        path: "/services/booking/confirm",
        headers: {
          authorization: `Bearer ${running.key}`,
          "idempotency-key": "small-chunks",
          connection: "close",
        },
      }, (response) => resolve(response.resume().statusCode));
      outgoing.once("error", reject);
      const body = Buffer.alloc(MAX_BODY_BYTES, "b");
      const chunks = function* () {
        for (let from = 0; from < body.length; from += SMALL_CHUNK_BYTES) {
          yield body.subarray(from, from + SMALL_CHUNK_BYTES);
        }
      };
      Readable.from(chunks()).pipe(outgoing);
    });
    expect(status).toBe(200);
  },
  TEST_TIMEOUT_MS,
);

/** Starts new processes, so that no crowd adds to what another has left. */
async function startDeployment(): Promise<LiveDeployment> {
  live?.stop();
  live = new LiveDeployment({
    firstPort: 21_900,
    controls: 1,
    entries: 2,
    engines: 0,
    services: 1,
    hostOf: (kind, number) => `127.0.9.${HOST_NUMBERS[kind] + number}`,
    entrySettings: {
      max_body_bytes: MAX_BODY_BYTES,
      max_connections: MAX_CONNECTIONS,
      memory_limit: MAX_MEMORY,
    },
  });
  await live.start();
  return live;
}

/** Resolves to the status of a call, whose claim the control group stores. */
async function requestUntilServed(running: LiveDeployment): Promise<number> {
  let status = 0;
  for (let index = 0; index < TRIES && status !== 200; index += 1) {
    await pause(index === 0 ? 0 : RETRY_PAUSE_MS);
    bookings += 1;
    const reply = await running.call(0, "/services/booking/confirm", {
      method: "POST",
      headers: {
        "idempotency-key": `booking-${bookings}`,
        connection: "close",
      },
      body: "{}",
      timeout: RESPONSE_TIMEOUT_MS,
    }).catch(() => undefined);
    status = reply?.status ?? 0;
  }
  return status;
}

/** Largest resident memory so far, in bytes; 0 for a process that has ended. */
function peakMemory(running: LiveDeployment, name: string): number {
  try {
    const pid = running.processes.pidOf(name);
    const status = readFileSync(`/proc/${pid}/status`, "utf8");
    return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * KIB;
  } catch {
    return 0;
  }
}

/** Number of open descriptors; 0 for a process that has ended. */
function countDescriptors(running: LiveDeployment, name: string): number {
  try {
    return readdirSync(`/proc/${running.processes.pidOf(name)}/fd`).length;
  } catch {
    return 0;
  }
}

function generation(): string {
  return head("POST /v1/chat/completions", live!.key);
}

function announcement(secret: string, bytes: number): Iterable<Buffer> {
  return chunkedBody(head("POST /v1/upstreams", secret), {
    bytes,
    chunkBytes: 4 * KIB,
  });
}

/** Lines of a head, without its end. */
function head(line: string, key = ""): string {
  const authorization = key === "" ? "" : `Authorization: Bearer ${key}\r\n`;
  return `${line} HTTP/1.1\r\nHost: entry\r\n${authorization}`;
}
