import { Agent, type ClientRequest, type IncomingMessage } from "node:http";
import type { Duplex } from "node:stream";
import type { Socket } from "node:net";

/** Kept connections to one upstream. */
const MAX_FREE_SOCKETS = 16;
/** Idle time of a connection whose upstream states no limit, in ms. */
const DEFAULT_IDLE_TIMEOUT_MS = 500;
/** Part of the stated idle limit after which a connection isn't used. */
const IDLE_TIMEOUT_SHARE = 0.75;

/**
 * Connections to one upstream. One that was idle for nearly as long as the
 * upstream allows is closed rather than used, since a request that meets the
 * upstream's close may have run or not.
 */
export class UpstreamAgent extends Agent {
  constructor() {
    super({
      keepAlive: true,
      maxFreeSockets: MAX_FREE_SOCKETS,
      scheduling: "lifo",
    });
  }

  /** Whether a kept connection is free. */
  get hasFreeSocket(): boolean {
    return Object.keys(this.freeSockets).length > 0;
  }

  /**
   * Closes the connections that are kept and free. Open connections may fall
   * silent all at once, without a reset, while new ones work.
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
    const seconds = /timeout=(\d+)/.exec(String(stated ?? ""))?.[1];
    const idleTimeout = seconds === undefined || seconds === "0"
      ? DEFAULT_IDLE_TIMEOUT_MS
      : Number(seconds) * 1000 * IDLE_TIMEOUT_SHARE;
    socket.setKeepAlive(true, 1000);
    socket.unref();
    // The agent closes free sockets that time out.
    socket.setTimeout(idleTimeout);
    return true;
  }

  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    const socket = stream as Socket;
    super.reuseSocket(socket, request);
    socket.setTimeout(0);
  }
}
