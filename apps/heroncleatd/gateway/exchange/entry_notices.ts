import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import {
  type Clock,
  RateLimiter,
  splitAddress,
  waitForAddress,
} from "@heroncleat/base";
import { checkEntryNotice, type EntryNotice } from "@heroncleat/schema";
import type { Log } from "../../common/log.ts";
import type { Metrics } from "../../common/metrics.ts";
import { parseJson } from "../../common/parse_json.ts";

/**
 * Sustained rate that covers several notices a second to each of about a
 * hundred entries. Sending a datagram takes about 20 µs.
 */
const MAX_DATAGRAMS_PER_SECOND = 400;
const MAX_DATAGRAM_BURST = 800;
/** Datagrams about streams: a few for each that begins or is resumed. */
const MAX_STREAM_DATAGRAMS_PER_SECOND = 1000;
const MAX_STREAM_DATAGRAM_BURST = 2000;
/** Entries that have just started aren't known yet. */
const STRANGER_BYTES_PER_SECOND = 2000 * 1024;
/** Seconds of that which may come at once. */
const STRANGER_BURST_SECONDS = 2;
/** A datagram counts as this many at least. */
const MIN_STRANGER_BYTES = 1024;
/** Limit of lines about notices that weren't taken in. */
const LINES_PER_SECOND = 1;
const LINE_BURST = 5;

type NoticeOptions = {
  /** host:port on which to receive datagrams from other entries. */
  readonly address: string;
  /** Hosts of the other entries, which listen on the same port. */
  readonly peers: () => readonly string[];
  /** Called with each notice and the host that sent it. */
  readonly onNotice: (notice: EntryNotice, from: string) => void;
  /** Bytes that are parsed of hosts that aren't known as entries. */
  readonly strangerBytesPerSecond?: number | undefined;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
};

/**
 * Sends notices to other entries by UDP. Datagrams may get lost, and none are
 * sent beyond a rate limit; the regular exchange with the control replicas
 * carries the same information later.
 */
export class EntryNotices {
  readonly #options: NoticeOptions;
  readonly #socket: Socket;
  readonly #port: number;
  readonly #rateLimiter = new RateLimiter(
    MAX_DATAGRAMS_PER_SECOND,
    MAX_DATAGRAM_BURST,
  );
  readonly #streamRateLimiter = new RateLimiter(
    MAX_STREAM_DATAGRAMS_PER_SECOND,
    MAX_STREAM_DATAGRAM_BURST,
  );
  readonly #strangerRateLimiter: RateLimiter;
  /** `peers` as it was when `#peerHosts` was made of it. */
  #peers: readonly string[] = [];
  #peerHosts: ReadonlySet<string> = new Set();
  readonly #lineLimiter = new RateLimiter(LINES_PER_SECOND, LINE_BURST);
  /** Whether another process uses the port. */
  #isWaiting = false;
  #isClosed = false;

  constructor(options: NoticeOptions) {
    this.#options = options;
    const { strangerBytesPerSecond = STRANGER_BYTES_PER_SECOND } = options;
    this.#strangerRateLimiter = new RateLimiter(
      strangerBytesPerSecond,
      strangerBytesPerSecond * STRANGER_BURST_SECONDS,
    );
    this.#port = splitAddress(options.address).port;
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (bytes, { address }) => {
      this.#receive(bytes, address);
    });
    this.#listen();
    this.#socket.unref();
  }

  /** Sends a notice to all other entries. */
  broadcast(notice: EntryNotice): void {
    this.#send(notice, this.#options.peers());
  }

  /** Sends a notice to one entry. */
  reply(notice: EntryNotice, host: string): void {
    this.#send(notice, [host]);
  }

  /**
   * Sends a notice about a stream, which others don't delay, to one entry.
   *
   * @param options.reserve See `OriginReserve`.
   */
  sendOfStream(
    notice: EntryNotice,
    { host, reserve }: { host: string; reserve: number },
  ): void {
    this.#send(notice, [host], {
      rateLimiter: this.#streamRateLimiter,
      reserve,
    });
  }

  /** Closes the socket. Later sends do nothing. */
  close(): void {
    this.#isClosed = true;
    this.#socket.close();
  }

  async #listen(): Promise<void> {
    const { address, log } = this.#options;
    const onError = (error: unknown) =>
      log.warn("Datagrams between entries failed", { error: String(error) });
    try {
      await waitForAddress(address, {
        listen: () => this.#bind(),
        onWait: (message) => {
          this.#isWaiting = true;
          log.warn(message);
        },
      });
    } catch (error) {
      onError(error);
    }
    this.#isWaiting = false;
    this.#socket.on("error", onError);
  }

  async #bind(): Promise<void> {
    if (!this.#isClosed) {
      const { host, port } = splitAddress(this.#options.address);
      const listening = once(this.#socket, "listening");
      this.#socket.bind({ address: host, port });
      await listening;
    }
  }

  #send(
    notice: EntryNotice,
    hosts: readonly string[],
    { rateLimiter = this.#rateLimiter, reserve = 0 }: {
      rateLimiter?: RateLimiter;
      reserve?: number;
    } = {},
  ): void {
    if (this.#isClosed) {
      return;
    }
    const { clock, metrics } = this.#options;
    const amount = hosts.length;
    if (!rateLimiter.tryConsume(clock.steady(), { amount, reserve })) {
      metrics.increment("entry_notices.over_budget");
      return;
    }
    if (this.#isWaiting) {
      // Sending binds the socket to any port, so that it could never receive.
      metrics.increment("entry_notices.failed", amount);
      return;
    }
    const bytes = Buffer.from(JSON.stringify(notice));
    for (const host of hosts) {
      // A datagram that can't be sent is treated like a lost one.
      this.#socket.send(bytes, this.#port, host, (error) => {
        if (error !== null) {
          metrics.increment("entry_notices.failed");
        }
      });
    }
  }

  #receive(bytes: Buffer, from: string): void {
    if (!this.#isKnown(from) && !this.#admitStranger(bytes, from)) {
      return;
    }
    const parsed = parseJson(bytes, checkEntryNotice);
    if (parsed.isErr) {
      this.#options.metrics.increment("entry_notices.unreadable");
      return;
    }
    try {
      this.#options.onNotice(parsed.value, from);
    } catch (error) {
      this.#reportFailure(parsed.value, { from, error: error as Error });
    }
  }

  #isKnown(host: string): boolean {
    const peers = this.#options.peers();
    if (peers !== this.#peers) {
      this.#peers = peers;
      this.#peerHosts = new Set(peers);
    }
    return this.#peerHosts.has(host);
  }

  #admitStranger(bytes: Buffer, from: string): boolean {
    const { clock, log, metrics } = this.#options;
    const now = clock.steady();
    const amount = Math.max(MIN_STRANGER_BYTES, bytes.length);
    if (this.#strangerRateLimiter.tryConsume(now, { amount })) {
      return true;
    }
    metrics.increment("entry_notices.strangers_over_budget");
    if (this.#lineLimiter.tryConsume(now)) {
      log.warn("Drops datagrams of hosts that aren't entries", { from });
    }
    return false;
  }

  #reportFailure(
    { kind }: EntryNotice,
    { from, error }: { from: string; error: Error },
  ): void {
    const { clock, log, metrics } = this.#options;
    metrics.increment("entry_notices.unapplied");
    if (this.#lineLimiter.tryConsume(clock.steady())) {
      log.error("A notice of another entry can't be applied", {
        kind,
        from,
        error: error.stack ?? error.message,
      });
    }
  }
}
