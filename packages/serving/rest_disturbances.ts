import type { Milliseconds, Random } from "@heroncleat/base";
import type { SimulatedRestEntry } from "./simulated_rest_entry.ts";
import type { SimulatedRestUpstreams } from "./simulated_rest_upstreams.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** A disturbance that begins at random times. */
type Disturbance =
  /** Some upstreams reject everything for a time. */
  | "rejecting"
  /** Callers send several times as much. */
  | "burst"
  /** Some upstreams end at once; other instances follow. */
  | "wave"
  /** An entry loses its list of upstreams, and gets it again. */
  | "relisted";

const DISTURBANCES: readonly Disturbance[] = [
  "rejecting",
  "rejecting",
  "rejecting",
  "burst",
  "wave",
  "relisted",
];

type DisturbanceOptions = {
  readonly time: VirtualTime;
  readonly upstreams: SimulatedRestUpstreams;
  readonly entries: readonly SimulatedRestEntry[];
  /** Used for disturbances alone, so that all policies get the same. */
  readonly random: Random;
  /** Mean time between two disturbances. */
  readonly interval: Milliseconds;
  /** Share of the disturbances in which rejections ask for rest. */
  readonly restShare: number;
};

/** Disturbs a simulation of rests at random times. */
export class RestDisturbances {
  readonly #options: DisturbanceOptions;
  #surge = 1;

  constructor(options: DisturbanceOptions) {
    this.#options = options;
  }

  /** Current load, as a multiple of the usual one. */
  get surge(): number {
    return this.#surge;
  }

  start(): void {
    const { time, random, interval } = this.#options;
    const disturb = () => {
      this.#disturb();
      time.schedule(interval * (0.5 + random()), disturb);
    };
    time.schedule(interval, disturb);
  }

  #disturb(): void {
    const { time, random } = this.#options;
    const kind = DISTURBANCES[Math.floor(random() * DISTURBANCES.length)]!;
    switch (kind) {
      case "rejecting":
        this.#reject();
        return;
      case "burst":
        this.#surge = 2 + random() * 4;
        time.schedule(200 + random() * 1500, () => {
          this.#surge = 1;
        });
        return;
      case "wave":
        this.#reclaim();
        return;
      case "relisted":
        this.#relist();
        return;
    }
  }

  /** Some upstreams reject, or all of them. */
  #reject(): void {
    const { time, random, restShare, upstreams } = this.#options;
    const share = random() < 0.15 ? 1 : random() * 0.6;
    const rest = random() >= restShare
      ? 0
      : [200, 1000, 3000, 8000][Math.floor(random() * 4)]!;
    const until = time.now + 100 + random() * 4000;
    for (const upstream of upstreams.list()) {
      if (random() < share) {
        upstream.rejectsUntil = until;
        upstream.rest = rest;
      }
    }
  }

  #reclaim(): void {
    const { time, random, upstreams } = this.#options;
    for (const upstream of upstreams.listUp()) {
      if (random() < 0.2) {
        upstream.isUp = false;
        time.schedule(
          500 + random() * 3000,
          () => upstreams.start(upstream, time.now),
        );
      }
    }
  }

  /** Expires what an entry knows of its upstreams, and lists them again. */
  #relist(): void {
    const { time, random, upstreams, entries } = this.#options;
    const entry = entries[Math.floor(random() * entries.length)]!;
    entry.isListed = false;
    entry.directory.expire(time.now + 120_000);
    time.schedule(random() * 800, () => {
      entry.isListed = true;
      for (const upstream of upstreams.listUp()) {
        entry.receiveHeartbeat(upstream, time.now);
      }
    });
  }
}
