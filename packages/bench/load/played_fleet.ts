import {
  createSeededRandom,
  type Milliseconds,
  type Random,
} from "@heroncleat/base";
import type { KnownUpstream } from "@heroncleat/serving";
import type { VirtualTime } from "../virtual_time.ts";
import { COUNTED_PERIOD } from "./counted_period.ts";
import type { Load } from "./load.ts";
import { type EngineRun, LoadEngine } from "./load_engine.ts";

const ZONES = ["a", "b", "c"];
const SLOWDOWN = 2.5;
/** Time after which other engines are slow. */
const SLOW_PERIOD: Milliseconds = 600;
const SAMPLE_PERIOD: Milliseconds = 10;
/** Time for which a refusal counts as a request that waits. */
const REFUSAL_WINDOW: Milliseconds = 100;

/** The engines of a play and their faults. */
export class PlayedFleet {
  readonly #load: Load;
  readonly #time: VirtualTime;
  readonly #random: Random;
  /** All engines that there were, and those that are up. */
  readonly all: LoadEngine[] = [];
  #up: LoadEngine[] = [];
  #upstreams: KnownUpstream[] = [];
  #samples = 0;
  #unusedSamples = 0;
  refusedAt: Milliseconds = -Infinity;

  constructor(load: Load, time: VirtualTime, seed: number) {
    this.#load = load;
    this.#time = time;
    this.#random = createSeededRandom(seed);
    for (let index = 0; index < load.engines; index += 1) {
      this.#start(`engine-${index}`, index);
    }
    this.#slowDown();
    time.every(SLOW_PERIOD, () => this.#slowDown());
    time.schedule(
      () => time.every(SAMPLE_PERIOD, () => this.#sample()),
      COUNTED_PERIOD.from,
    );
  }

  get up(): readonly LoadEngine[] {
    return this.#up;
  }

  get upstreams(): readonly KnownUpstream[] {
    return this.#upstreams;
  }

  /** Share of engine time unused while a request waited or was refused. */
  get unusedShare(): number {
    return this.#unusedSamples / Math.max(1, this.#samples);
  }

  find(id: string): LoadEngine | undefined {
    return this.#up.find((engine) => engine.id === id);
  }

  /** Ends the engines that the load loses; returns what they held. */
  loseEngines(): EngineRun[] {
    const lost = this.#up.splice(0, this.#load.lost);
    this.#upstreams.splice(0, this.#load.lost);
    return lost.flatMap((engine) => engine.lose());
  }

  /** Starts engines in place of the lost ones. */
  replaceEngines(): void {
    for (let index = 0; index < this.#load.lost; index += 1) {
      this.#start(`engine-${index}-again`, index);
    }
  }

  #start(id: string, index: number): void {
    const zone = ZONES[index % ZONES.length]!;
    const engine = new LoadEngine(id, {
      zone,
      settings: this.#load.engine,
      time: this.#time,
    });
    this.all.push(engine);
    this.#up.push(engine);
    this.#upstreams.push({
      record: {
        id,
        name: id,
        born: undefined,
        service: this.#load.kinds[0]!.service,
        address: `${id}:80`,
        zone,
        slots: this.#load.engine.slots,
        sequence: 1,
        state: "ready",
        isSpot: false,
        leavesIn: undefined,
      },
      // Heartbeats aren't simulated. Nothing is fetched from an upstream
      // without recent ones.
      receivedAt: -Infinity,
      firstReceivedAt: this.#time.now,
      reporter: "",
    });
  }

  #slowDown(): void {
    // A share of an engine counts as its probability to be slow.
    const count = Math.floor(
      this.#up.length * this.#load.slowShare + this.#random(),
    );
    const ordered = this.#up
      .map((engine) => ({ engine, order: this.#random() }))
      .sort((left, right) => left.order - right.order);
    for (const [index, { engine }] of ordered.entries()) {
      engine.slowdown = index < count ? SLOWDOWN : 1;
    }
  }

  #sample(): void {
    const { now } = this.#time;
    if (now > COUNTED_PERIOD.to) {
      return;
    }
    const isShort = now - this.refusedAt < REFUSAL_WINDOW ||
      this.#up.some(({ queue }) => queue.length > 0);
    this.#samples += this.#up.length;
    this.#unusedSamples += isShort
      ? this.#up.filter((engine) => engine.isUnused).length
      : 0;
  }
}
