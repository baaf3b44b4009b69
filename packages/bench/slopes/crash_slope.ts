import { createHash, randomBytes } from "node:crypto";
import { RevisionCounter, SuspectRegistry } from "@heroncleat/serving";

/** What it costs to know of a number of suspected requests. */
type CrashCost = {
  /** To look up a request that none of them can be, and one that may be. */
  readonly nanosecondsUnlike: number;
  readonly microsecondsAlike: number;
  /** To work out how all stand after one more end. */
  readonly judgeMilliseconds: number;
  /** To tell all of them to one that knows none. */
  readonly wholeKilobytes: number;
};

const LOOKUPS = 20_000;
const ENDS = 50;
const UPSTREAMS = 400;
const SIZE = 2000;
const WORKSPACES = 10;

/** Fills a book with suspects, two ends each, and times its use. */
export function measureCrashes(suspects: number): CrashCost {
  const book = new SuspectRegistry({
    revisions: new RevisionCounter(),
    countUpstreams: () => UPSTREAMS,
  });
  const note = (request: number, upstream: string, at: number) =>
    book.recordCrash({
      request: digestOf(Buffer.from(`${request}`)),
      workspace: `w${request % WORKSPACES}`,
      service: "desk",
      size: SIZE,
    }, { upstream, sentAt: at, endedAt: at + 50 });
  for (let at = 0; at < 2 * suspects; at += 1) {
    note(at % suspects, `u${at}`, 10 * at);
  }
  const now = 20 * suspects + 1000;
  const body = randomBytes(SIZE);
  return {
    nanosecondsUnlike: timeEach(LOOKUPS, () => book.hasSuspectOfSize(1)) * 1e6,
    microsecondsAlike: timeEach(LOOKUPS, () => {
      if (book.hasSuspectOfSize(SIZE)) {
        book.statusOf(digestOf(body), now);
      }
    }) * 1000,
    judgeMilliseconds: suspects === 0 ? 0 : timeEach(ENDS, (at) => {
      note(at % suspects, `v${at}`, now + at);
      book.statusOf(digestOf(Buffer.from("0")), now + 1000);
    }),
    wholeKilobytes: JSON.stringify(book.changesSince(0, now)).length / 1024,
  };
}

function digestOf(bytes: Buffer): string {
  return createHash("sha256").update(bytes).digest("hex").slice(0, 32);
}

/** Milliseconds that one call takes. */
function timeEach(calls: number, call: (at: number) => void): number {
  const startedAt = performance.now();
  for (let at = 0; at < calls; at += 1) {
    call(at);
  }
  return (performance.now() - startedAt) / calls;
}
