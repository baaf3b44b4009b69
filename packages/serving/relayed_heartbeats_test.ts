import { Hub } from "./mod.ts";

const UPSTREAMS = 200;

function record(index: number, sequence: number) {
  return {
    id: `u${index}`,
    name: `u${index}`,
    born: undefined,
    service: "pool",
    address: `10.0.0.${index}:80`,
    zone: "a",
    slots: 4,
    sequence,
    state: "ready" as const,
    isSpot: false,
    leavesIn: undefined,
  };
}

/** Replicas that read each other's feeds. */
class Replicas {
  readonly hubs = ["a", "b", "c"].map((name) => new Hub(name));
  readonly #revisions = new Map<string, { feed: string; revision: number }>();

  /** One replica reads another; returns the number of heartbeats sent. */
  read(
    reader: number,
    source: number,
    options: { now: number; reads: readonly number[] },
  ): number {
    const key = `${reader} ${source}`;
    const position = this.#revisions.get(key) ?? { feed: "", revision: 0 };
    const reply = this.hubs[source]!.createFeedReply({
      ...position,
      reads: options.reads.map((each) => `replica-${each}`),
    }, options.now);
    this.#revisions.set(key, reply);
    this.hubs[reader]!.mergeFeed(reply, options.now, {
      reporter: `replica-${source}`,
    });
    return Object.keys(reply.beats).length;
  }

  receive(sequence: number, now: number): void {
    for (let index = 0; index < UPSTREAMS; index += 1) {
      this.hubs[0]!.mergeUpstream(record(index, sequence), now);
    }
  }

  sequenceAt(hub: number): number {
    return this.hubs[hub]!.directory.get("u7")!.record.sequence;
  }
}

// Load: all upstreams report to one of three replicas.
test("a heartbeat is sent to each replica once", () => {
  const replicas = new Replicas();
  const all = { now: 0, reads: [0, 1, 2] };
  const readAll = () =>
    replicas.read(1, 0, all) + replicas.read(2, 0, all) +
    replicas.read(2, 1, all) + replicas.read(1, 2, all);
  replicas.receive(1, 0);
  readAll();
  replicas.receive(2, 0);
  expect(readAll()).toBe(2 * UPSTREAMS);
  expect([1, 2].map((hub) => replicas.sequenceAt(hub))).toEqual([2, 2]);
});

test("heartbeats go around a path that is cut", () => {
  const replicas = new Replicas();
  replicas.receive(1, 0);
  replicas.read(1, 0, { now: 0, reads: [0, 2] });
  replicas.read(2, 1, { now: 0, reads: [1] });
  replicas.receive(2, 0);
  replicas.read(1, 0, { now: 0, reads: [0, 2] });
  replicas.read(2, 1, { now: 0, reads: [1] });
  expect(replicas.sequenceAt(2)).toBe(2);
});
