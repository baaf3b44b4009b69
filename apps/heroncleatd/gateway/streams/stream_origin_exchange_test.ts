import { setTimeout as pause } from "node:timers/promises";
import { createSystemClock } from "@heroncleat/base";
import {
  type KnownEntry,
  OriginRepeats,
  OriginReserve,
  PossibleOrigins,
  type Route,
  RouteKind,
  type StreamOrigin,
} from "@heroncleat/serving";
import { StreamOriginExchange } from "./stream_origin_exchange.ts";

const ENTRY_COUNT = 30;
/** Covers the interval at which streams are told again. */
const REPEATED_AFTER_MS = OriginRepeats.delay + 200;
const clock = createSystemClock();
const metrics = { increment() {}, gauge() {}, timing() {}, close() {} };
const route: Route = {
  name: "r",
  host: "h",
  pathPrefix: "/",
  kind: RouteKind.streaming,
  targets: [{ service: "desk", weight: 1 }],
  timeout: 5000,
  latencyObjective: 100,
  priority: 0,
  maxAttempts: 2,
  isPublic: true,
  isResumable: true,
};
const origin = { service: "desk", version: "v1" };
const entries: KnownEntry[] = Array.from(
  { length: ENTRY_COUNT },
  (_, index) => ({
    name: `entry-${index}`,
    address: `10.0.0.${index}:1`,
    zone: `zone-${index % 4}`,
    region: "r",
  }),
);

type Knowledge = Pick<
  ConstructorParameters<typeof StreamOriginExchange>[0],
  "possibleOrigins" | "confirmCurrent"
>;

/** Exchanges whose datagrams arrive at once, unless they are lost. */
function connect(
  knowledgeOf: () => Knowledge = () => ({
    possibleOrigins: new PossibleOrigins(),
    confirmCurrent: () => Promise.resolve(false),
  }),
) {
  const isSilent = new Set<number>();
  const reserves: number[] = [];
  const archived = new Map<string, StreamOrigin>();
  const exchanges = entries.map(({ name }, index) =>
    new StreamOriginExchange({
      entry: name,
      clock,
      metrics,
      ...knowledgeOf(),
      isRolledOut: () => false,
      findRoute: () => route,
      listEntries: () => entries,
      archive: {
        store: ({ stream, service, version }) =>
          archived.set(stream, { service, version }),
        find: (stream) => {
          const known = archived.get(stream);
          return Promise.resolve(
            known === undefined ? { kind: "unknown", unanswered: 0 } : {
              kind: "found",
              origin: known,
              by: "replica",
              source: "replica",
              age: 0,
            },
          );
        },
      },
      send: (notice, { host, reserve }) => {
        reserves.push(reserve);
        const to = Number(host.split(".").at(-1));
        if (!isSilent.has(index) && !isSilent.has(to)) {
          setImmediate(() => exchanges[to]!.receive(notice, `10.0.0.${index}`));
        }
      },
    })
  );
  return { exchanges, isSilent, reserves, archived };
}

const begun = (stream: string) => ({
  stream,
  route,
  origin,
  expiresAt: clock.steady() + 10_000,
  isResumed: false,
});

test("a stream is known although the first datagrams about it were lost and its entry has ended", async () => {
  const { exchanges, isSilent } = connect();
  const [first] = exchanges;
  isSilent.add(0);
  first!.recordBegin(begun("s"));
  await pause(50);
  isSilent.delete(0);
  await pause(REPEATED_AFTER_MS);
  isSilent.add(0);
  const found = await exchanges.at(-1)!.find("s", route);
  expect(found).toMatchObject({ kind: "found", origin });
});

test("each stream is told to five entries, and to three of them once more", async () => {
  const { exchanges, reserves } = connect();
  exchanges[0]!.recordBegin(begun("s"));
  await pause(50);
  expect(reserves).toEqual(Array(5).fill(OriginReserve.origin));
  await pause(REPEATED_AFTER_MS);
  expect(reserves).toHaveLength(8);
  await pause(REPEATED_AFTER_MS);
  expect(reserves).toHaveLength(8);
});

test("questions about made-up streams leave room for what holders are told", async () => {
  const { exchanges, reserves } = connect();
  const found = await exchanges[0]!.find("made-up", route);
  expect(found).toMatchObject({ kind: "unknown", unanswered: 0 });
  expect(new Set(reserves)).toEqual(
    new Set([OriginReserve.holder, OriginReserve.other]),
  );
});

// Guards against streams that nobody can resume once all entries that knew
// where they began have ended.
test("a stream is known to the archive alone", async () => {
  const { exchanges, isSilent, archived } = connect();
  exchanges[0]!.recordBegin(begun("s"));
  for (let index = 0; index < ENTRY_COUNT - 1; index += 1) {
    isSilent.add(index);
  }
  const last = exchanges.at(-1)!;
  expect(await last.find("s", route)).toMatchObject({
    kind: "found",
    origin,
    by: "replica",
  });
  archived.clear();
  expect(await last.find("s", route)).toMatchObject({
    kind: "unknown",
    unanswered: expect.any(Number),
  });
});

test("a caller that names no stream is not looked up in the archive", async () => {
  const { exchanges, archived } = connect();
  archived.set("", origin);
  expect(await exchanges[0]!.find("", route)).toMatchObject({
    kind: "unknown",
  });
});

/** Knows one version for long; a second one once the replicas are asked. */
function outdatedKnowledge(): Knowledge {
  const possibleOrigins = new PossibleOrigins();
  possibleOrigins.applyRoutes([route], -Infinity);
  const apply = (versions: string[]) =>
    possibleOrigins.applyReply("replica", {
      versions: { desk: versions },
      isComplete: true,
    }, clock.steady());
  apply(["v1"]);
  return {
    possibleOrigins,
    confirmCurrent: () => {
      apply(["v1", "v2"]);
      return Promise.resolve(true);
    },
  };
}

// Guards against streams joined from two versions at an entry that hasn't heard
// of the second one yet.
test("a stream isn't taken for one of the only version by an outdated list", async () => {
  const { exchanges, archived } = connect(outdatedKnowledge);
  expect(await exchanges[0]!.find("s", route)).toMatchObject({
    kind: "unknown",
  });
  const second = { service: "desk", version: "v2" };
  archived.set("s", second);
  const [, other] = connect(outdatedKnowledge).exchanges;
  expect(await other!.find("s", route)).not.toMatchObject({ origin });
  expect(await exchanges[0]!.find("s", route)).toMatchObject({
    origin: second,
  });
});
