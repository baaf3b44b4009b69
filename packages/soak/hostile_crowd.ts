import { connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import type { Milliseconds } from "@heroncleat/base";

/** Connections that are opened at once, so that none waits for a backlog. */
const OPENED_AT_ONCE = 100;
const POLL_INTERVAL: Milliseconds = 50;
/** After this time without progress, what wasn't taken won't be. */
const STALL_TIME: Milliseconds = 2000;

type CrowdOptions = {
  readonly host: string;
  readonly port: number;
  readonly connections: number;
  /** What each connection sends. */
  readonly pieces: () => Iterable<Buffer>;
  /** Whether responses are read. */
  readonly reads?: boolean;
  /** Whether each sends FIN behind its last piece. */
  readonly halfCloses?: boolean;
};

/** Clients that send what no client should, and stay open. */
export class HostileCrowd {
  readonly #sockets: Socket[] = [];
  #unfinished: number;
  #sentBytes = 0;

  private constructor(connections: number) {
    this.#unfinished = connections;
  }

  /** Opens the connections and sends until all is sent, refused or stalled. */
  static async send(options: CrowdOptions): Promise<HostileCrowd> {
    const crowd = new HostileCrowd(options.connections);
    for (let index = 0; index < options.connections; index += 1) {
      crowd.#open(options);
      if (index % OPENED_AT_ONCE === OPENED_AT_ONCE - 1) {
        await pause(POLL_INTERVAL);
      }
    }
    await crowd.#settle();
    return crowd;
  }

  leave(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }

  #open(
    { host, port, pieces, reads = true, halfCloses = false }: CrowdOptions,
  ): void {
    const socket = connect({ host, port, allowHalfOpen: true });
    this.#sockets.push(socket);
    const iterator = pieces()[Symbol.iterator]();
    let isFinished = false;
    const finish = () => {
      this.#unfinished -= isFinished ? 0 : 1;
      isFinished = true;
    };
    const sendNext = () => {
      while (!socket.destroyed) {
        const { value, done } = iterator.next();
        if (done) {
          if (halfCloses) {
            socket.end();
          }
          finish();
          return;
        }
        this.#sentBytes += value.length;
        if (!socket.write(value)) {
          socket.once("drain", sendNext);
          return;
        }
      }
    };
    socket.once("connect", sendNext);
    socket.once("error", finish);
    socket.once("close", finish);
    if (reads) {
      socket.resume();
    }
  }

  async #settle(): Promise<void> {
    let seenBytes = -1;
    let progressAt = performance.now();
    while (this.#unfinished > 0) {
      if (this.#sentBytes !== seenBytes) {
        seenBytes = this.#sentBytes;
        progressAt = performance.now();
      } else if (performance.now() - progressAt > STALL_TIME) {
        return;
      }
      await pause(POLL_INTERVAL);
    }
  }
}
