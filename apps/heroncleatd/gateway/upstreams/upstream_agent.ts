import { Agent, type ClientRequest, type IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";
import {
  type Clock,
  createSystemClock,
  type Milliseconds,
  timerDelay,
} from "@heroncleat/base";
import { ProcessContinuity } from "@heroncleat/serving";
import type { ConnectionOpener } from "../../common/connection_opener.ts";
import type { EndedBy } from "../responses/ended_by.ts";
import type { UpstreamRun } from "./upstream_run.ts";

/** Idle timeout of a connection whose upstream states none. */
const DEFAULT_IDLE_TIMEOUT_MS = 500;
/** Share of the stated idle timeout after which a connection isn't reused. */
const IDLE_TIMEOUT_SHARE = 0.75;

/**
 * Pools the connections to one upstream. Connections are closed before the
 * upstream's idle timeout, since it is unknown whether a request ran that meets
 * the upstream's close.
 */
export class UpstreamAgent extends Agent {
  readonly #maxFreeSockets: () => number;
  readonly #connect: ConnectionOpener;
  readonly #runs = new Set<UpstreamRun>();
  readonly #open = new Set<Socket>();
  readonly #idle = new WeakSet<Socket>();
  readonly #clock: Pick<Clock, "steady">;
  readonly #onIdleBreak: () => void;
  readonly #continuity = new ProcessContinuity();
  #bytesOfClosed = 0;
  #isRetired = false;

  /** @param maxFreeSockets Number of idle connections to keep now, at most. */
  constructor(
    maxFreeSockets: () => number,
    connect: ConnectionOpener,
    { clock = createSystemClock(), onIdleBreak = () => {} }: {
      clock?: Pick<Clock, "steady">;
      /** Called when the upstream closed an idle connection. */
      onIdleBreak?: () => void;
    } = {},
  ) {
    super({ keepAlive: true, scheduling: "lifo" });
    this.#clock = clock;
    this.#onIdleBreak = onIdleBreak;
    this.#maxFreeSockets = maxFreeSockets;
    this.#connect = connect;
  }

  /** @param onCreated Takes the error where `connect` throws. */
  override createConnection(
    options: { host: string; port: number },
    onCreated?: (error: Error | null, stream: Duplex) => void,
  ): Socket {
    let socket: Socket;
    try {
      socket = this.#connect(options);
    } catch (error) {
      // Without a socket the agent waits for the callback.
      const none = undefined as never;
      onCreated?.(error as Error, none);
      return none;
    }
    this.#open.add(socket);
    socket.once("connect", () => {
      this.#continuity.recordOpen(socket, this.#clock.steady());
    });
    const recordEndOfIdle = () => {
      if (this.#idle.has(socket)) {
        this.#onIdleBreak();
      }
    };
    socket.once("end", recordEndOfIdle);
    socket.once("error", recordEndOfIdle);
    socket.once("close", () => {
      this.#open.delete(socket);
      this.#continuity.recordClose(socket);
      this.#bytesOfClosed += socket.bytesRead;
    });
    return socket;
  }

  /** See ProcessContinuity. */
  recordBreak(): () => void {
    return this.#continuity.recordBreak(this.#clock.steady());
  }

  /** The open connections that are older than an age. */
  listOpen(minAge: Milliseconds): Socket[] {
    const openedBefore = this.#clock.steady() - minAge;
    return [...this.#open].filter((socket) =>
      !socket.destroyed && socket.readable &&
      this.#continuity.isOpenSince(socket, openedBefore)
    );
  }

  /**
   * Whether the process that sent the last heartbeat may have ended since.
   *
   * @param heartbeatAt When the heartbeat was received, by the steady clock.
   */
  mayHaveEnded(heartbeatAt: Milliseconds): boolean {
    return this.#continuity.mayHaveEnded(heartbeatAt);
  }

  /** Tracks a request in progress. Returns a function that ends it. */
  track(run: UpstreamRun): () => void {
    this.#runs.add(run);
    return () => this.#runs.delete(run);
  }

  listRuns(): UpstreamRun[] {
    return [...this.#runs];
  }

  /** Closes connections that aren't in use, from now on. */
  retire(): void {
    this.#isRetired = true;
    this.closeFreeSockets();
  }

  /** Bytes received on all connections so far. */
  get bytesReceived(): number {
    let bytes = this.#bytesOfClosed;
    for (const socket of this.#open) {
      bytes += socket.bytesRead;
    }
    return bytes;
  }

  /** Whether no connection is open. */
  get isUnused(): boolean {
    return this.#runs.size === 0 && this.#open.size === 0;
  }

  /** Closes all connections, also those in use. */
  closeAll(reason: EndedBy): void {
    for (const run of this.#runs) {
      run.recordEndedBy(reason);
    }
    this.destroy();
  }

  /** Whether an idle connection is available. */
  get hasFreeSocket(): boolean {
    return Object.keys(this.freeSockets).length > 0;
  }

  #countFreeSockets(): number {
    let count = 0;
    for (const sockets of Object.values(this.freeSockets)) {
      count += sockets?.length ?? 0;
    }
    return count;
  }

  /**
   * Closes the idle connections. All connections to an upstream may stop
   * working at once without a reset, while new ones can be opened.
   */
  closeFreeSockets(): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        socket.destroy();
      }
    }
  }

  override keepSocketAlive(stream: Duplex): boolean {
    const socket = stream as Socket & {
      _httpMessage?: { res?: IncomingMessage };
    };
    const stated = socket._httpMessage?.res?.headers["keep-alive"];
    if (
      this.#isRetired || this.#countFreeSockets() >= this.#maxFreeSockets()
    ) {
      return false;
    }
    const seconds = /timeout=(\d+)/.exec(String(stated ?? ""))?.[1];
    const idleTimeout = Number(seconds ?? 0) === 0
      ? DEFAULT_IDLE_TIMEOUT_MS
      : Number(seconds) * 1000 * IDLE_TIMEOUT_SHARE;
    this.#idle.add(socket);
    socket.setKeepAlive(true, 1000);
    socket.unref();
    // The agent closes idle sockets that time out.
    socket.setTimeout(timerDelay(idleTimeout));
    return true;
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    const socket = stream as Socket;
    this.#idle.delete(socket);
    super.reuseSocket(socket, request);
    socket.setTimeout(0);
  }
}
