import { connect, createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "@heroncleat/base";

/** A connection through the relay. */
type RelayedConnection = {
  readonly source: string;
  readonly inbound: Socket;
  readonly outbound: Socket;
};

/**
 * Passes connections on to one process, and can cut those of some sources:
 * each process connects from a loopback address of its own.
 *
 * @public
 */
export class TcpRelay {
  readonly #server: Server;
  readonly #connections = new Set<RelayedConnection>();
  readonly #partitionedSources = new Set<string>();
  readonly #listenAddress: string;
  readonly #targetAddress: string;

  constructor(listenOn: string, target: string) {
    this.#listenAddress = listenOn;
    this.#targetAddress = target;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  listen(): Promise<void> {
    const { host, port } = splitAddress(this.#listenAddress);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Stops passing bytes from one host, both ways and without a sign, as a
   * network partition does.
   */
  partition(source: string): void {
    this.#partitionedSources.add(source);
    for (const link of this.#connections) {
      if (link.source === source) {
        link.inbound.pause();
        link.outbound.pause();
      }
    }
  }

  /** Passes bytes again; connections that were cut are closed. */
  heal(): void {
    for (const link of this.#connections) {
      if (this.#partitionedSources.has(link.source)) {
        link.inbound.destroy();
        link.outbound.destroy();
      }
    }
    this.#partitionedSources.clear();
  }

  close(): void {
    for (const link of this.#connections) {
      link.inbound.destroy();
      link.outbound.destroy();
    }
    this.#server.close();
  }

  #accept(inbound: Socket): void {
    const source = inbound.remoteAddress ?? "";
    const { host, port } = splitAddress(this.#targetAddress);
    const outbound = connect({ host, port });
    const link = { source, inbound, outbound };
    this.#connections.add(link);
    const end = () => {
      this.#connections.delete(link);
      inbound.destroy();
      outbound.destroy();
    };
    for (const socket of [inbound, outbound]) {
      socket.setNoDelay(true);
      socket.on("error", end);
      socket.on("close", end);
    }
    inbound.on("data", (bytes) => outbound.write(bytes));
    outbound.on("data", (bytes) => inbound.write(bytes));
    if (this.#partitionedSources.has(source)) {
      inbound.pause();
      outbound.pause();
    }
  }
}
