import type { Announcement } from "@heroncleat/schema";
import type { HeldVm, Offer } from "@heroncleat/capacity";
import { ModelEngine } from "@heroncleat/stand_ins";
import type { VirtualTime } from "../virtual_time.ts";

const PREFILL_TOKENS_PER_SECOND = 4000;
const DECODE_INTERVAL_MS = 25;
const TRANSFER_TOKENS_PER_SECOND = 20_000;
const CACHE_CAPACITY_BLOCKS = 500;
const BATCH_SLOWDOWN = 0.5;
const MS_PER_HOUR = 3_600_000;

/** A VM that runs a model engine, in virtual time. */
export class SimulatedVm {
  readonly name: string;
  readonly offer: Offer;
  readonly engine: ModelEngine;
  readonly #time: VirtualTime;
  readonly #heldFrom: number;
  state: "starting" | "serving" | "leaving" | "gone" = "starting";
  cacheSequence = 0;
  #heldUntil: number | undefined;
  #sequence = 0;
  #reclaimAt = 0;

  constructor(
    name: string,
    options: { offer: Offer; time: VirtualTime; decodeSlowdown: number },
  ) {
    const { offer, time, decodeSlowdown } = options;
    this.name = name;
    this.offer = offer;
    this.#time = time;
    this.#heldFrom = time.now;
    this.engine = new ModelEngine({
      slots: offer.slots,
      prefillRate: PREFILL_TOKENS_PER_SECOND,
      decodeInterval: DECODE_INTERVAL_MS * decodeSlowdown,
      transferRate: TRANSFER_TOKENS_PER_SECOND,
      cacheBlocks: CACHE_CAPACITY_BLOCKS,
      salt: "policy",
      batchSlowdown: BATCH_SLOWDOWN,
    }, (action, delay) => time.schedule(action, delay));
  }

  get isUp(): boolean {
    return this.state === "serving" || this.state === "leaving";
  }

  get held(): HeldVm {
    const state = this.state === "gone" ? "leaving" : this.state;
    return { name: this.name, state, ...this.offer };
  }

  startDeparture(notice: number): void {
    this.state = "leaving";
    this.#reclaimAt = this.#time.now + notice;
  }

  terminate(): void {
    this.state = "gone";
    this.#heldUntil ??= this.#time.now;
  }

  costUntil(now: number): number {
    const until = this.#heldUntil ?? now;
    return (until - this.#heldFrom) / MS_PER_HOUR * this.offer.price;
  }

  createAnnouncement(): Announcement {
    this.#sequence += 1;
    return {
      name: this.name,
      address: this.name,
      incarnation: 1,
      sequence: this.#sequence,
      kind: "model_engine",
      models: ["assistant"],
      zone: this.offer.zone,
      vmClass: this.offer.vmClass,
      price: this.offer.price,
      labels: {},
      checksFencing: true,
      slots: this.offer.slots,
      prefillRate: PREFILL_TOKENS_PER_SECOND,
      // A slow engine announces the nominal interval; entries detect the
      // slowdown themselves.
      decodeInterval: DECODE_INTERVAL_MS,
      state: this.state === "leaving" ? "leaving" : "serving",
      ...this.state === "leaving"
        ? { reclaimIn: Math.max(0, this.#reclaimAt - this.#time.now) }
        : {},
      load: {
        running: this.engine.running,
        waiting: this.engine.waiting,
        kvUsedShare: this.engine.kvUsedShare,
        at: this.#time.now,
      },
    };
  }
}
