import {
  OwnedRequest,
  ReclaimAction,
  StandbyStore,
} from "@heroncleat/requests";
import type { RequestRecord } from "@heroncleat/schema";

/** What an accepted request costs its two holders, without sockets. */
type RequestCost = {
  readonly microsecondsPerPiece: number;
  readonly bytesEach: number;
  readonly copyBytesPerPiece: number;
};

const PIECES = 60;

/** Runs a number of requests at once through owner and standby. */
export function measureRequests(requests: number): RequestCost {
  const before = heapUsed();
  const standby = new StandbyStore("entry-2", 60_000);
  const owned = Array.from(
    { length: requests },
    (_, place) => createOwned(place),
  );
  let bytes = 0;
  const startedAt = performance.now();
  for (const request of owned) {
    bytes += drive(request, standby, { kind: "start" });
    bytes += drive(request, standby, {
      kind: "routed",
      attempt: 1,
      upstream: "engine-1",
    });
  }
  for (let place = 0; place < PIECES; place += 1) {
    for (const request of owned) {
      const piece = { text: " word", tokens: 1 };
      bytes += drive(request, standby, {
        kind: "piece",
        attempt: 1,
        position: place,
        piece,
      });
    }
  }
  const taken = performance.now() - startedAt;
  const heap = heapUsed() - before;
  // Both holders are counted, so both must still be alive here.
  const held = Math.max(1, Math.min(owned.length, standby.size));
  return {
    microsecondsPerPiece: taken / requests / PIECES * 1000,
    bytesEach: heap / held,
    copyBytesPerPiece: bytes / requests / PIECES,
  };
}

/** Handles an event and answers its copies; returns the bytes copied. */
function drive(
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
    bytes += drive(request, standby, { kind: "copy_answered", number, reply });
  }
  return bytes;
}

function createOwned(place: number): OwnedRequest {
  const record: RequestRecord = {
    id: `entry-1~entry-2~${String(place).padStart(32, "0")}`,
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

function heapUsed(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}
