import {
  OwnedRequest,
  ReclaimAction,
  StandbyStore,
} from "@heroncleat/requests";
import type { RequestRecord } from "@heroncleat/schema";

/**
 * Costs of an accepted request at its owner and its standby, without sockets.
 */
type RequestCost = {
  readonly microsecondsPerChunk: number;
  readonly bytesPerRequest: number;
  readonly copyBytesPerChunk: number;
};

const CHUNKS_PER_REQUEST = 60;

/**
 * Runs concurrent requests through an owner and its standby and measures the
 * costs.
 */
export function measureRequests(requests: number): RequestCost {
  const before = readHeapBytes();
  const standby = new StandbyStore("entry-2", 60_000);
  const owned = Array.from(
    { length: requests },
    (_, index) => createOwnedRequest(index),
  );
  let bytes = 0;
  const startedAt = performance.now();
  for (const request of owned) {
    bytes += handleAndCopy(request, standby, { kind: "start" });
    bytes += handleAndCopy(request, standby, {
      kind: "routed",
      attempt: 1,
      upstream: "engine-1",
    });
  }
  for (let index = 0; index < CHUNKS_PER_REQUEST; index += 1) {
    for (const request of owned) {
      const piece = { text: " word", tokens: 1 };
      bytes += handleAndCopy(request, standby, {
        kind: "piece",
        attempt: 1,
        position: index,
        piece,
      });
    }
  }
  const elapsed = performance.now() - startedAt;
  const heap = readHeapBytes() - before;
  // Keeps both the owner and the standby reachable until their memory is
  // measured.
  const heldCount = Math.max(1, Math.min(owned.length, standby.size));
  return {
    microsecondsPerChunk: elapsed / requests / CHUNKS_PER_REQUEST * 1000,
    bytesPerRequest: heap / heldCount,
    copyBytesPerChunk: bytes / requests / CHUNKS_PER_REQUEST,
  };
}

/**
 * Handles an event, applies its copies at the standby, and returns the bytes
 * copied.
 */
function handleAndCopy(
  request: OwnedRequest,
  standby: StandbyStore,
  event: Parameters<OwnedRequest["handle"]>[0],
): number {
  let bytes = 0;
  for (const effect of request.handle(event, 1)) {
    if (effect.kind !== "copy") {
      continue;
    }
    const text = JSON.stringify(effect.message);
    bytes += text.length;
    const reply = standby.applyCopy(JSON.parse(text), 1);
    const { number } = effect;
    bytes += handleAndCopy(request, standby, {
      kind: "copy_answered",
      number,
      reply,
    });
  }
  return bytes;
}

function createOwnedRequest(index: number): OwnedRequest {
  const record: RequestRecord = {
    id: `entry-1~entry-2~${String(index).padStart(32, "0")}`,
    workspace: "bureau",
    kind: "chat",
    stream: true,
    model: "writer",
    body: JSON.stringify({ messages: [{ role: "user", content: "x" }] }),
    priority: "draft",
    deadline: 60_000,
    promptTokens: 500,
    epoch: 1,
    owner: "entry-1",
    standby: "entry-2",
  };
  return new OwnedRequest(record, {
    settings: {
      self: "entry-1",
      copyTimeout: 400,
      handOverTimeout: 2000,
      idleTimeout: 5000,
      retryDelay: 100,
      maxAttempts: 10,
      chooseReclaimAction: () => ReclaimAction.resume,
    },
    start: {
      pieces: [],
      finished: false,
      finishReason: "",
      accepted: false,
      now: 0,
    },
  });
}

function readHeapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
