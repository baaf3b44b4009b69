import type { Milliseconds } from "@heroncleat/base";
import type { Announcement, Load } from "@heroncleat/schema";
import { request } from "undici";
import type { StandInSettings } from "./stand_in_settings.ts";

const REQUEST_TIMEOUT_MS = 1000;

/**
 * Announces an upstream to an entry at regular intervals, and fails over to the
 * next entry.
 *
 * @public
 */
export class Announcer {
  readonly #settings: StandInSettings;
  readonly #readLoad: () => Omit<Load, "at">;
  readonly #incarnation = Date.now();
  #sequence = 0;
  #entryIndex = 0;
  #reclaimAt: Milliseconds | undefined;
  #timer: NodeJS.Timeout | undefined;
  #models: readonly string[];

  constructor(settings: StandInSettings, readLoad: () => Omit<Load, "at">) {
    this.#settings = settings;
    this.#readLoad = readLoad;
    this.#models = settings.models;
  }

  start(): void {
    const { announceInterval } = this.#settings;
    this.#timer = setInterval(() => void this.announce(), announceInterval);
    void this.announce();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  setModels(models: readonly string[]): void {
    this.#models = models;
    void this.announce();
  }

  /** Announces that the VM will be reclaimed. */
  async announceReclaim(reclaimIn: Milliseconds): Promise<void> {
    this.#reclaimAt = Date.now() + reclaimIn;
    await this.announce();
  }

  /** Tries the entries in turn until one accepts the announcement. */
  async announce(): Promise<void> {
    this.#sequence += 1;
    const body = JSON.stringify(this.#build());
    for (
      let attempts = 0;
      attempts < this.#settings.entries.length;
      attempts += 1
    ) {
      if (await this.#sendTo(this.#currentEntry(), body)) {
        return;
      }
      this.#entryIndex += 1;
    }
  }

  #currentEntry(): string {
    const { entries } = this.#settings;
    return entries[this.#entryIndex % entries.length]!;
  }

  async #sendTo(entry: string, body: string): Promise<boolean> {
    try {
      const response = await request(`http://${entry}/v1/upstreams`, {
        method: "POST",
        headers: {
          "content-type": "application/json",
          authorization: `Bearer ${this.#settings.sharedSecret}`,
        },
        body,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      await response.body.dump();
      return response.statusCode === 200;
    } catch {
      return false;
    }
  }

  #build(): Announcement {
    const settings = this.#settings;
    const announcement: Announcement = {
      name: settings.name,
      address: settings.address,
      incarnation: this.#incarnation,
      sequence: this.#sequence,
      kind: settings.kind,
      models: [...this.#models],
      zone: settings.zone,
      vmClass: settings.vmClass,
      price: settings.price,
      labels: { ...settings.labels },
      checksFencing: settings.checksFencing,
      slots: settings.engine.slots,
      prefillRate: settings.engine.prefillRate,
      decodeInterval: settings.engine.decodeInterval,
      state: this.#reclaimAt === undefined ? "serving" : "leaving",
      load: { ...this.#readLoad(), at: Date.now() },
    };
    if (settings.service !== "") {
      announcement.service = settings.service;
    }
    if (this.#reclaimAt !== undefined) {
      announcement.reclaimIn = Math.max(0, this.#reclaimAt - Date.now());
    }
    return announcement;
  }
}
