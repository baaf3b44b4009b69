import type { Clock, Milliseconds } from "@heroncleat/base";
import type { FeedReply, FeedRequest, Hub } from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";

const INTERVAL: Milliseconds = 200;
const TIMEOUT: Milliseconds = 800;

/** What the reader is built from. */
type ReaderOptions = {
  readonly hub: Hub;
  readonly clock: Clock;
  readonly pool: PeerPool;
  readonly log: Log;
  /** host:port of the other control replicas. */
  readonly peers: () => readonly string[];
};

/** How far one peer's feed was read. */
type Position = { feed: string; revision: number; isAsking: boolean };

/**
 * Takes over what upstreams reported to the other control replicas, and what
 * these know of usage.
 */
export class FeedReader {
  readonly #options: ReaderOptions;
  readonly #positions = new Map<string, Position>();
  readonly #timer: NodeJS.Timeout;

  constructor(options: ReaderOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#readAll(), INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #readAll(): void {
    for (const address of this.#options.peers()) {
      const known = this.#positions.get(address) ??
        { feed: "", revision: 0, isAsking: false };
      this.#positions.set(address, known);
      if (!known.isAsking) {
        void this.#read(address, known);
      }
    }
  }

  async #read(address: string, position: Position): Promise<void> {
    const { pool, hub, clock, log } = this.#options;
    position.isAsking = true;
    try {
      const { feed, revision } = position;
      const request: FeedRequest = { feed, revision };
      const reply = await pool.call(address, "hub.feed", {
        parameters: request,
        timeout: TIMEOUT,
      }) as FeedReply;
      const now = clock.steady();
      for (const leaving of hub.mergeFeed(reply, now, { reporter: address })) {
        log.info(`Learns that an upstream is ${leaving.state}`, {
          upstream: leaving.id,
          by: address,
        });
      }
      position.feed = reply.feed;
      position.revision = reply.revision;
    } catch {
      // The peer is asked again at the next interval; the links log losses.
    } finally {
      position.isAsking = false;
    }
  }
}
