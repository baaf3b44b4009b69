import { connect, createServer, type Server, type Socket } from "node:net";
import { splitAddress } from "@heroncleat/base";

/** A connection through the relay. */
type RelayedLink = {
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
export class LinkRelay {
  readonly #server: Server;
  readonly #links = new Set<RelayedLink>();
  readonly #cut = new Set<string>();
  readonly #listenOn: string;
  readonly #target: string;

  constructor(listenOn: string, target: string) {
    this.#listenOn = listenOn;
    this.#target = target;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  listen(): Promise<void> {
    const { host, port } = splitAddress(this.#listenOn);
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
  }

  /**
   * Stops passing bytes from one host, both ways and without a sign, as a
   * network partition does.
   */
  cut(source: string): void {
    this.#cut.add(source);
    for (const link of this.#links) {
      if (link.source === source) {
        link.inbound.pause();
        link.outbound.pause();
      }
    }
  }

  /** Passes bytes again; connections that were cut are closed. */
  heal(): void {
    for (const link of this.#links) {
      if (this.#cut.has(link.source)) {
        link.inbound.destroy();
        link.outbound.destroy();
      }
    }
    this.#cut.clear();
  }

  close(): void {
    for (const link of this.#links) {
      link.inbound.destroy();
      link.outbound.destroy();
    }
    this.#server.close();
  }

  #accept(inbound: Socket): void {
    const source = inbound.remoteAddress ?? "";
    const { host, port } = splitAddress(this.#target);
    const outbound = connect({ host, port });
    const link = { source, inbound, outbound };
    this.#links.add(link);
    const end = () => {
      this.#links.delete(link);
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
    if (this.#cut.has(source)) {
      inbound.pause();
      outbound.pause();
    }
  }
}
