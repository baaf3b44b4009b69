import type { Milliseconds, Random } from "@heroncleat/base";
import type { OriginScenario } from "./origin_scenario.ts";
import type { SimulatedEntry } from "./simulated_origin_entry.ts";
import type { SimulatedOriginArchive } from "./simulated_origin_archive.ts";
import type { VirtualTime } from "./virtual_time.ts";

/** Share of the entries that restart as a version joins. */
const RESTARTED_SHARE = 0.15;
/** Times between faults of a kind, on average. */
const ENTRY_FAULT_INTERVAL: Milliseconds = 15_000;
const KILL_INTERVAL: Milliseconds = 15_000;
const RESTART_INTERVAL: Milliseconds = 1000;
const ZONE_CUT_INTERVAL: Milliseconds = 20_000;
const LOSS_BURST_INTERVAL: Milliseconds = 3000;
const CUT_DURATION: Milliseconds = 8000;
const ZONE_CUT_DURATION: Milliseconds = 5000;
const LOSS_BURST_DURATION: Milliseconds = 300;
const ENTRY_DOWNTIME: Milliseconds = 500;
const KILL_DOWNTIME: Milliseconds = 1000;

type FaultOptions = {
  readonly time: VirtualTime;
  readonly random: Random;
  /** Entries by index; a restart replaces one. */
  readonly entries: SimulatedEntry[];
  readonly createEntry: (index: number) => SimulatedEntry;
  readonly archive: SimulatedOriginArchive;
  /** Breaks off the streams that entries pass on. */
  readonly breakOff: (entries: ReadonlySet<SimulatedEntry>) => void;
};

/**
 * Faults of simulated entries: killed or cut off one by one or together, and
 * times at which all their messages get lost.
 *
 * @internal
 */
export class SimulatedOriginFaults {
  readonly #options: FaultOptions;
  #restartedCount = 0;

  constructor(options: FaultOptions) {
    this.#options = options;
  }

  start(scenario: OriginScenario): void {
    const { time, entries } = this.#options;
    const { killedShare = 0 } = scenario;
    if (scenario.disturbsEntries) {
      time.repeat(ENTRY_FAULT_INTERVAL, () => this.#disturbOne());
    }
    if (killedShare > 0) {
      const count = Math.round(entries.length * killedShare);
      time.repeat(KILL_INTERVAL, () => {
        this.#killTogether(count);
        this.#disturbReplicas(scenario);
      });
    }
    if (scenario.restartsEntries) {
      time.repeat(RESTART_INTERVAL, () => this.#restartNext());
    }
    if (scenario.cutsZones) {
      time.repeat(ZONE_CUT_INTERVAL, () => this.#cutZone());
    }
    if (scenario.hasLossBursts) {
      for (const index of entries.keys()) {
        time.repeat(LOSS_BURST_INTERVAL, () => this.#loseMessages(index));
      }
    }
  }

  /** Replaces the processes of some entries without a downtime. */
  restartSome(): void {
    const { entries } = this.#options;
    const count = Math.ceil(entries.length * RESTARTED_SHARE);
    for (let index = 0; index < count; index += 1) {
      this.#kill(index, 0);
    }
  }

  #disturbOne(): void {
    const { time, random, entries } = this.#options;
    const index = Math.floor(random() * entries.length);
    if (random() < 0.5) {
      entries[index]!.cutUntil = time.now + CUT_DURATION;
      return;
    }
    this.#kill(index, ENTRY_DOWNTIME);
  }

  #killTogether(count: number): void {
    const { random, entries, breakOff } = this.#options;
    const indexes = [...entries.keys()];
    const killed = new Set<SimulatedEntry>();
    while (killed.size < count) {
      const at = Math.floor(random() * indexes.length);
      const [index] = indexes.splice(at, 1);
      killed.add(entries[index!]!);
      this.#kill(index!, KILL_DOWNTIME);
    }
    breakOff(killed);
  }

  #disturbReplicas({ endsReplicas, losesDisk }: OriginScenario): void {
    const { archive } = this.#options;
    if (endsReplicas === true) {
      archive.restartAll(KILL_DOWNTIME);
    }
    if (losesDisk === true) {
      archive.loseOneDisk();
    }
  }

  #restartNext(): void {
    const { entries, breakOff } = this.#options;
    const index = this.#restartedCount % entries.length;
    this.#restartedCount += 1;
    const entry = entries[index]!;
    this.#kill(index, ENTRY_DOWNTIME);
    breakOff(new Set([entry]));
  }

  #cutZone(): void {
    const { time, random, entries, breakOff } = this.#options;
    const { zone } = entries[Math.floor(random() * entries.length)]!.known;
    const cut = entries.filter(({ known }) => known.zone === zone);
    for (const entry of cut) {
      entry.cutUntil = time.now + ZONE_CUT_DURATION;
      entry.avoidedUntil = time.now + ZONE_CUT_DURATION;
    }
    breakOff(new Set(cut));
  }

  #loseMessages(index: number): void {
    const { time, entries } = this.#options;
    entries[index]!.losesUntil = time.now + LOSS_BURST_DURATION;
  }

  #kill(index: number, downtime: Milliseconds): void {
    const { time, entries, createEntry } = this.#options;
    entries[index]!.isRunning = false;
    time.schedule(downtime, () => {
      entries[index] = createEntry(index);
    });
  }
}
