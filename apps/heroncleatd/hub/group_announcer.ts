import type { Milliseconds } from "@heroncleat/base";
import type { RegisterRequest } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import { foundingCalls } from "./founding_calls.ts";

/** Pause between notices to seeds without a replica of who is a member. */
const ANNOUNCE_INTERVAL: Milliseconds = 1000;

/** What the announcer is built from. */
type AnnouncerOptions = {
  readonly pool: PeerPool;
  readonly seeds: () => readonly string[];
  readonly describe: () => RegisterRequest;
};

/**
 * Tells seeds that hold no replica who is a member. They forget it when they
 * restart, and others learn of the group by the seeds alone.
 */
export class GroupAnnouncer {
  readonly #options: AnnouncerOptions;
  readonly #timer: NodeJS.Timeout;

  constructor(options: AnnouncerOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#announce(), ANNOUNCE_INTERVAL);
    this.#announce();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #announce(): void {
    const { pool, seeds, describe } = this.#options;
    const request = describe();
    for (const seed of seeds()) {
      if (!request.members.some(({ address }) => address === seed)) {
        foundingCalls.announce(pool, seed, request);
      }
    }
  }
}
