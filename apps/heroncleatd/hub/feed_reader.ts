import type { Clock, Milliseconds } from "@heroncleat/base";
import type { FeedReply, FeedRequest, Hub } from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";

const READ_INTERVAL: Milliseconds = 200;
/**
 * Interval for each feed while this replica only stands by. With many replicas,
 * reading each other's feeds takes most of their time.
 */
const STANDBY_INTERVAL: Milliseconds = 600;
/** Number of peers above which a standby reads their feeds less often. */
const MAX_URGENT_PEERS = 4;
const READ_TIMEOUT: Milliseconds = 800;
/** Time without a reply after which a feed no longer counts as read. */
const LOST_TIMEOUT: Milliseconds = 1000;

type ReaderOptions = {
  readonly hub: Hub;
  readonly clock: Clock;
  readonly pool: PeerPool;
  readonly log: Log;
  /** Whether entries rely on this replica to receive what changes. */
  readonly isUrgent: () => boolean;
  /** host:port of the other control replicas. */
  readonly peers: () => readonly string[];
};

/** Position up to which a peer's change feed has been read. */
type Position = {
  feed: string;
  revision: number;
  isReading: boolean;
  readAt: Milliseconds;
};

/**
 * Polls the change feeds of the other control replicas and merges their
 * upstream records and usage counts.
 */
export class FeedReader {
  readonly #options: ReaderOptions;
  readonly #positions = new Map<string, Position>();
  readonly #timer: NodeJS.Timeout;

  constructor(options: ReaderOptions) {
    this.#options = options;
    this.#timer = setInterval(() => this.#readAll(), READ_INTERVAL);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #readAll(): void {
    const { clock, peers, isUrgent } = this.#options;
    const addresses = peers();
    const isRelaxed = addresses.length > MAX_URGENT_PEERS && !isUrgent();
    // Reads start when the timer fires, which may be somewhat early.
    const pause = isRelaxed ? STANDBY_INTERVAL - READ_INTERVAL / 2 : 0;
    for (const address of addresses) {
      const position = this.#positions.get(address) ??
        { feed: "", revision: 0, isReading: false, readAt: -Infinity };
      this.#positions.set(address, position);
      if (!position.isReading && clock.steady() - position.readAt >= pause) {
        void this.#read(address, position);
      }
    }
  }

  /** Replicas whose feeds arrive here. */
  #listRead(): string[] {
    const since = this.#options.clock.steady() - LOST_TIMEOUT;
    const read: string[] = [];
    for (const address of this.#options.peers()) {
      if ((this.#positions.get(address)?.readAt ?? -Infinity) > since) {
        read.push(address);
      }
    }
    return read;
  }

  async #read(address: string, position: Position): Promise<void> {
    const { pool, hub, clock, log } = this.#options;
    position.isReading = true;
    try {
      const { feed, revision } = position;
      const requestedAt = clock.steady();
      const request: FeedRequest = { feed, revision, reads: this.#listRead() };
      const reply = await pool.call(address, "hub.feed", {
        parameters: request,
        timeout: READ_TIMEOUT,
      }) as FeedReply;
      const now = clock.steady();
      for (
        const departing of hub.mergeFeed(reply, now, {
          reporter: address,
          transit: now - requestedAt,
        })
      ) {
        log.info(`Received a report that an upstream is ${departing.state}`, {
          upstream: departing.id,
          by: address,
        });
      }
      position.readAt = now;
      position.feed = reply.feed;
      position.revision = reply.revision;
    } catch {
      // The next interval retries; the connection pool logs failed connections.
    } finally {
      position.isReading = false;
    }
  }
}
