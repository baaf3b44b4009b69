import { connect, createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "@heroncleat/base";

/** A connection through the relay. */
type RelayedConnection = {
  readonly source: string;
  readonly inbound: Socket;
  readonly outbound: Socket;
};

/**
 * Forwards connections to one process and can partition it from some sources;
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

  constructor(listenAddress: string, targetAddress: string) {
    this.#listenAddress = listenAddress;
    this.#targetAddress = targetAddress;
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
   * Stops forwarding bytes from and to one host without closing connections,
   * as a network partition does.
   */
  partition(source: string): void {
    this.#partitionedSources.add(source);
    for (const connection of this.#connections) {
      if (connection.source === source) {
        connection.inbound.pause();
        connection.outbound.pause();
      }
    }
  }

  /** Forwards bytes again and closes the partitioned connections. */
  heal(): void {
    for (const connection of this.#connections) {
      if (this.#partitionedSources.has(connection.source)) {
        connection.inbound.destroy();
        connection.outbound.destroy();
      }
    }
    this.#partitionedSources.clear();
  }

  close(): void {
    for (const connection of this.#connections) {
      connection.inbound.destroy();
      connection.outbound.destroy();
    }
    this.#server.close();
  }

  #accept(inbound: Socket): void {
    const source = inbound.remoteAddress ?? "";
    const { host, port } = splitAddress(this.#targetAddress);
    const outbound = connect({ host, port });
    const connection = { source, inbound, outbound };
    this.#connections.add(connection);
    const close = () => {
      this.#connections.delete(connection);
      inbound.destroy();
      outbound.destroy();
    };
    for (const socket of [inbound, outbound]) {
      socket.setNoDelay(true);
      socket.on("error", close);
      socket.on("close", close);
    }
    inbound.on("data", (bytes) => outbound.write(bytes));
    outbound.on("data", (bytes) => inbound.write(bytes));
    if (this.#partitionedSources.has(source)) {
      inbound.pause();
      outbound.pause();
    }
  }
}
