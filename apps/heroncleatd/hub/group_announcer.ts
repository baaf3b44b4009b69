import type { Milliseconds } from "@heroncleat/base";
import type { RegisterRequest } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import { bootstrapCalls } from "./bootstrap_calls.ts";

const ANNOUNCE_INTERVAL: Milliseconds = 1000;

type AnnouncerOptions = {
  readonly pool: PeerPool;
  readonly seeds: () => readonly string[];
  readonly describeGroup: () => RegisterRequest;
};

/**
 * Sends the group's members periodically to seeds that hold no replica. Such
 * seeds lose the members on a restart, and other processes find the group only
 * through the seeds.
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
    const { pool, seeds, describeGroup } = this.#options;
    const request = describeGroup();
    for (const seed of seeds()) {
      if (!request.members.some(({ address }) => address === seed)) {
        bootstrapCalls.announce(pool, seed, request);
      }
    }
  }
}
