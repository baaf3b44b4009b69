import { connect, createServer, type Server, type Socket } from "node:net";
import { type Milliseconds, splitAddress } from "@heroncleat/base";

/** Prefix of the addresses at which unclaimed links are fetched. */
const CLAIM_NETWORK = "127.200";
/**
 * Ports at which links are opened. Node.js accepts one connection of each per
 * turn of the event loop, too few at one port when many processes reconnect.
 */
const PORT_COUNT = 10;
/** Time after which a link that its process has given up is reset. */
const CLAIM_TIMEOUT: Milliseconds = 3000;
/** Number of claim addresses; each one stands for an unclaimed link. */
const MAX_CLAIM_ADDRESSES = 60_000;

/** Hosts of a link; `from` is the one that connects. */
type LinkEndpoints = { readonly from: string; readonly to: string };

/**
 * How a link treats bytes in one direction: forwards them, buffers them, or
 * discards them.
 */
type FlowState = "passing" | "held" | "lost";

type DelayedBytes = { readonly bytes: Buffer; readonly dueAt: Milliseconds };

/** One connection through the proxy. */
class Link {
  readonly endpoints: LinkEndpoints;
  readonly #delay: () => Milliseconds;
  readonly #sockets: { near: Socket | undefined; far: Socket };
  /** Buffered bytes, oldest first, by the side that sent them. */
  readonly #queues = { near: [] as Buffer[], far: [] as Buffer[] };
  readonly #flows: { near: FlowState; far: FlowState } = {
    near: "passing",
    far: "passing",
  };
  readonly #closedSides = new Set<"near" | "far">();
  /** Whether a side reset its connection, which the other side learns. */
  #isReset = false;
  /** Bytes on their way, oldest first, by the side that sent them. */
  readonly #delayed = {
    near: [] as DelayedBytes[],
    far: [] as DelayedBytes[],
  };

  constructor(
    endpoints: LinkEndpoints,
    options: { far: Socket; delay: () => Milliseconds },
  ) {
    this.endpoints = endpoints;
    this.#delay = options.delay;
    this.#sockets = { near: undefined, far: options.far };
    this.#watch("far", options.far);
  }

  /** Whether both sides are closed. */
  get isClosed(): boolean {
    return this.#closedSides.size === 2;
  }

  /** Attaches the socket of the process that connects. */
  attach(near: Socket): void {
    this.#sockets.near = near;
    this.#watch("near", near);
    this.#flush("far");
  }

  /** Sets how the bytes that a host sends are treated. */
  setFlow(sender: string, flow: FlowState): void {
    const side = sender === this.endpoints.from ? "near" : "far";
    if (this.#flows[side] !== "lost") {
      this.#flows[side] = flow;
      this.#flush(side);
    }
  }

  /** Resets the connection on both sides. */
  reset(): void {
    for (const socket of [this.#sockets.near, this.#sockets.far]) {
      socket?.resetAndDestroy();
    }
    this.#closedSides.add("near").add("far");
  }

  #watch(side: "near" | "far", socket: Socket): void {
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => {
      const dueAt = performance.now() + this.#delay();
      this.#delayed[side].push({ bytes, dueAt });
      this.#deliver(side);
    });
    socket.on("error", (error: NodeJS.ErrnoException) => {
      this.#isReset ||= error.code === "ECONNRESET";
    });
    socket.on("close", () => {
      this.#closedSides.add(side);
      this.#flush(side);
    });
  }

  /** Delivers the bytes that are due, in order even if the delay decreases. */
  #deliver(side: "near" | "far"): void {
    const delayed = this.#delayed[side];
    const now = performance.now();
    while (delayed.length > 0 && delayed[0]!.dueAt <= now) {
      this.#queues[side].push(delayed.shift()!.bytes);
    }
    if (delayed.length > 0) {
      setTimeout(() => this.#deliver(side), Math.ceil(delayed[0]!.dueAt - now));
    }
    this.#flush(side);
  }

  /** Forwards the buffered bytes of one side, and then its close. */
  #flush(side: "near" | "far"): void {
    const other = side === "near" ? this.#sockets.far : this.#sockets.near;
    if (this.#flows[side] !== "passing" || other === undefined) {
      return;
    }
    for (const bytes of this.#queues[side].splice(0)) {
      other.write(bytes);
    }
    const hasMore = this.#delayed[side].length > 0;
    if (hasMore || !this.#closedSides.has(side) || other.destroyed) {
      return;
    }
    if (this.#isReset) {
      other.resetAndDestroy();
    } else {
      other.end();
      other.destroySoon();
    }
  }
}

/**
 * Proxy for all connections between the VMs of a soak. It can partition hosts
 * in one or both directions, reset or delay connections, and black-hole open
 * connections while new ones work.
 *
 * @public
 */
export class LinkProxy {
  readonly #firstPort: number;
  readonly #servers: readonly Server[];
  readonly #links = new Set<Link>();
  readonly #unclaimedLinks = new Map<string, Link>();
  /** Partitioned directions, as "from to". */
  readonly #partitions = new Set<string>();
  /** Directions in which new links are refused, as "from to". */
  readonly #refusals = new Set<string>();
  /** Links that open once their partition heals, by requesting socket. */
  readonly #pendingConnects = new Map<Socket, () => void>();
  readonly #delays = new Map<string, Milliseconds>();
  #addressCounter = 0;

  /** @param firstPort The first of `portCount` ports. */
  constructor(firstPort: number) {
    this.#firstPort = firstPort;
    this.#servers = Array.from(
      { length: PORT_COUNT },
      () => createServer((socket) => this.#accept(socket)),
    );
  }

  static get portCount(): number {
    return PORT_COUNT;
  }

  async listen(): Promise<void> {
    await Promise.all(
      this.#servers.map((server, at) => listenAt(server, this.#firstPort + at)),
    );
  }

  close(): void {
    for (const link of this.#links) {
      link.reset();
    }
    this.#servers.forEach((server) => server.close());
  }

  /** Buffers what one host sends to another; new links hang. */
  partition(from: string, to: string): void {
    this.#partitions.add(`${from} ${to}`);
    this.#setFlows({ from, to }, "held");
  }

  /** Ends a partition in one direction and delivers the buffered bytes. */
  heal(from: string, to: string): void {
    this.#partitions.delete(`${from} ${to}`);
    this.#setFlows({ from, to }, "passing");
    for (const open of [...this.#pendingConnects.values()]) {
      open();
    }
  }

  /** Refuses new links of one host to another. */
  refuse(from: string, to: string): void {
    this.#refusals.add(`${from} ${to}`);
  }

  /** Accepts new links of one host to another again. */
  accept(from: string, to: string): void {
    this.#refusals.delete(`${from} ${to}`);
  }

  /** Resets the open links of one host to another. */
  resetBetween(from: string, to: string): void {
    for (const link of [...this.#links]) {
      if (link.endpoints.from === from && link.endpoints.to === to) {
        link.reset();
        this.#links.delete(link);
      }
    }
  }

  /** Discards all further bytes on the open links between two hosts. */
  blackhole(left: string, right: string): void {
    this.#setFlows({ from: left, to: right }, "lost");
    this.#setFlows({ from: right, to: left }, "lost");
  }

  /** Resets the open links of a host. */
  reset(host: string): void {
    for (const link of [...this.#links]) {
      if (link.endpoints.from === host || link.endpoints.to === host) {
        link.reset();
        this.#links.delete(link);
      }
    }
  }

  /** Sets the delay of a host's traffic in each direction. */
  delay(host: string, time: Milliseconds): void {
    this.#delays.set(host, time);
  }

  #setFlows({ from, to }: LinkEndpoints, flow: FlowState): void {
    for (const link of this.#links) {
      const { endpoints } = link;
      const isBetween = (endpoints.from === from && endpoints.to === to) ||
        (endpoints.from === to && endpoints.to === from);
      if (isBetween) {
        link.setFlow(from, flow);
      }
    }
  }

  #accept(socket: Socket): void {
    socket.on("error", () => {});
    const claimAddress = socket.localAddress ?? "";
    const link = this.#unclaimedLinks.get(claimAddress);
    if (link !== undefined) {
      this.#unclaimedLinks.delete(claimAddress);
      link.attach(socket);
      return;
    }
    if (claimAddress.startsWith(`${CLAIM_NETWORK}.`)) {
      socket.resetAndDestroy();
      return;
    }
    let requestLine = "";
    socket.on("data", (bytes) => {
      requestLine += String(bytes);
      if (requestLine.endsWith("\n")) {
        const [from, target] = requestLine.trim().split(" ");
        this.#open(socket, { from: from!, target: target! });
      }
    });
  }

  #open(
    requester: Socket,
    { from, target }: { from: string; target: string },
  ): void {
    const { host: to, port } = splitAddress(target);
    if (this.#refusals.has(`${from} ${to}`)) {
      requester.end("refused\n");
      return;
    }
    if (
      this.#partitions.has(`${from} ${to}`) ||
      this.#partitions.has(`${to} ${from}`)
    ) {
      this.#pendingConnects.set(
        requester,
        () => this.#open(requester, { from, target }),
      );
      return;
    }
    this.#pendingConnects.delete(requester);
    if (requester.destroyed) {
      return;
    }
    const far = connect({ host: to, port, localAddress: from });
    far.once("error", () => requester.end("refused\n"));
    far.once("connect", () => {
      // The process may have given up while its request waited here.
      if (requester.destroyed || requester.readableEnded) {
        far.resetAndDestroy();
        return;
      }
      const delay = () => this.#delayOf(from) + this.#delayOf(to);
      const link = new Link({ from, to }, { far, delay });
      this.#links.add(link);
      this.#removeClosed();
      requester.end(`${this.#assignAddress(link)}\n`);
    });
  }

  #delayOf(host: string): Milliseconds {
    return this.#delays.get(host) ?? 0;
  }

  #assignAddress(link: Link): string {
    this.#addressCounter = (this.#addressCounter + 1) % MAX_CLAIM_ADDRESSES;
    const high = Math.floor(this.#addressCounter / 250);
    const low = 1 + this.#addressCounter % 250;
    const claimAddress = `${CLAIM_NETWORK}.${high}.${low}`;
    this.#unclaimedLinks.set(claimAddress, link);
    setTimeout(() => {
      if (this.#unclaimedLinks.get(claimAddress) === link) {
        this.#unclaimedLinks.delete(claimAddress);
        link.reset();
      }
    }, CLAIM_TIMEOUT).unref();
    return claimAddress;
  }

  #removeClosed(): void {
    for (const link of this.#links) {
      if (link.isClosed) {
        this.#links.delete(link);
      }
    }
  }
}

function listenAt(server: Server, port: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once("error", (error) => {
      reject(
        new Error(
          `Can't listen on the link proxy's port ${port}: ${error.message}. ` +
            "Remedy: stop the soak that uses it, or choose another slot.",
        ),
      );
    });
    server.listen(port, "0.0.0.0", resolve);
  });
}
