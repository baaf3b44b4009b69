import { connect, createServer, type Server, type Socket } from "node:net";
import { type Milliseconds, splitAddress } from "@heroncleat/base";

/** First two numbers of the addresses at which halves of links are held. */
const TICKET_NETWORK = "127.200";
/** Tickets, one for each link that waits to be fetched. */
const TICKETS = 60_000;

/** Two hosts, the one that connects first. */
type LinkEndpoints = { readonly from: string; readonly to: string };

/** What a link does to bytes in one direction. */
type FlowState = "passing" | "held" | "lost";

/** One connection by way of the proxy. */
class Link {
  readonly endpoints: LinkEndpoints;
  readonly #delay: () => Milliseconds;
  readonly #sockets: { near: Socket | undefined; far: Socket };
  /** Bytes on their way, oldest first, from the near and the far half. */
  readonly #queues = { near: [] as Buffer[], far: [] as Buffer[] };
  readonly #flows: { near: FlowState; far: FlowState } = {
    near: "passing",
    far: "passing",
  };
  readonly #closedSides = new Set<"near" | "far">();
  /** When the last bytes of a half are passed on. */
  readonly #dueAt: { near: Milliseconds; far: Milliseconds } = {
    near: 0,
    far: 0,
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

  /** Whether nothing can come over it any more. */
  get isClosed(): boolean {
    return this.#closedSides.size === 2;
  }

  /** Takes the half of the process that connects. */
  attach(near: Socket): void {
    this.#sockets.near = near;
    this.#watch("near", near);
    this.#flush("far");
  }

  /** Sets what happens to bytes that one host sends. */
  setFlow(sender: string, flow: FlowState): void {
    const side = sender === this.endpoints.from ? "near" : "far";
    if (this.#flows[side] !== "lost") {
      this.#flows[side] = flow;
      this.#flush(side);
    }
  }

  /** Breaks it so that both ends notice. */
  reset(): void {
    for (const socket of [this.#sockets.near, this.#sockets.far]) {
      socket?.resetAndDestroy();
    }
    this.#closedSides.add("near").add("far");
  }

  #watch(side: "near" | "far", socket: Socket): void {
    socket.setNoDelay(true);
    socket.on("data", (bytes: Buffer) => {
      // Bytes keep their order, also while the delay changes.
      const now = performance.now();
      const due = Math.max(this.#dueAt[side], now + this.#delay());
      this.#dueAt[side] = due;
      const take = () => {
        this.#queues[side].push(bytes);
        this.#flush(side);
      };
      if (due > now) {
        setTimeout(take, due - now);
      } else {
        take();
      }
    });
    socket.on("error", () => {});
    socket.on("close", () => {
      this.#closedSides.add(side);
      this.#flush(side);
    });
  }

  /** Passes on what one half has sent, and then its end. */
  #flush(side: "near" | "far"): void {
    const other = side === "near" ? this.#sockets.far : this.#sockets.near;
    if (this.#flows[side] !== "passing" || other === undefined) {
      return;
    }
    for (const bytes of this.#queues[side].splice(0)) {
      other.write(bytes);
    }
    if (this.#closedSides.has(side) && !other.destroyed) {
      other.end();
      other.destroySoon();
    }
  }
}

/**
 * Every connection between VMs of a soak, in one place: it can be cut (one way,
 * too), reset, delayed, or fall silent for good while new ones work.
 *
 * @public
 */
export class LinkProxy {
  readonly #port: number;
  readonly #server: Server;
  readonly #links = new Set<Link>();
  readonly #unclaimedLinks = new Map<string, Link>();
  /** Cut directions, as "from to". */
  readonly #partitions = new Set<string>();
  /** Links that are to be opened once their cut is over. */
  readonly #pendingConnects = new Map<Socket, () => void>();
  readonly #delays = new Map<string, Milliseconds>();
  #addressCounter = 0;

  constructor(port: number) {
    this.#port = port;
    this.#server = createServer((socket) => this.#accept(socket));
  }

  listen(): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once("error", (error) => {
        reject(
          new Error(
            `The links' port ${this.#port} can't be used: ${error.message}. ` +
              "Remedy: end the soak that uses it, or give another slot.",
          ),
        );
      });
      this.#server.listen(this.#port, "0.0.0.0", resolve);
    });
  }

  close(): void {
    for (const link of this.#links) {
      link.reset();
    }
    this.#server.close();
  }

  /** Holds back what one host sends another; new links hang. */
  partition(from: string, to: string): void {
    this.#partitions.add(`${from} ${to}`);
    this.#setFlows({ from, to }, "held");
  }

  /** Ends all cuts from one host to another; what was held arrives. */
  heal(from: string, to: string): void {
    this.#partitions.delete(`${from} ${to}`);
    this.#setFlows({ from, to }, "passing");
    for (const open of [...this.#pendingConnects.values()]) {
      open();
    }
  }

  /** Lets open links between two hosts fall silent for good. */
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

  /** Delays what a host sends and receives by a time each way. */
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
    const ticket = socket.localAddress ?? "";
    const link = this.#unclaimedLinks.get(ticket);
    if (link !== undefined) {
      this.#unclaimedLinks.delete(ticket);
      link.attach(socket);
      return;
    }
    let asked = "";
    socket.on("data", (bytes) => {
      asked += String(bytes);
      if (asked.endsWith("\n")) {
        const [from, target] = asked.trim().split(" ");
        this.#open(socket, { from: from!, target: target! });
      }
    });
  }

  #open(
    asking: Socket,
    { from, target }: { from: string; target: string },
  ): void {
    const { host: to, port } = splitAddress(target);
    if (
      this.#partitions.has(`${from} ${to}`) ||
      this.#partitions.has(`${to} ${from}`)
    ) {
      this.#pendingConnects.set(
        asking,
        () => this.#open(asking, { from, target }),
      );
      return;
    }
    this.#pendingConnects.delete(asking);
    if (asking.destroyed) {
      return;
    }
    const far = connect({ host: to, port, localAddress: from });
    far.once("error", () => asking.end("refused\n"));
    far.once("connect", () => {
      const delay = () => this.#delayOf(from) + this.#delayOf(to);
      const link = new Link({ from, to }, { far, delay });
      this.#links.add(link);
      this.#removeClosed();
      asking.end(`${this.#assignAddress(link)}\n`);
    });
  }

  #delayOf(host: string): Milliseconds {
    return this.#delays.get(host) ?? 0;
  }

  #assignAddress(link: Link): string {
    this.#addressCounter = (this.#addressCounter + 1) % TICKETS;
    const high = Math.floor(this.#addressCounter / 250);
    const low = 1 + this.#addressCounter % 250;
    const ticket = `${TICKET_NETWORK}.${high}.${low}`;
    this.#unclaimedLinks.set(ticket, link);
    return ticket;
  }

  #removeClosed(): void {
    for (const link of this.#links) {
      if (link.isClosed) {
        this.#links.delete(link);
      }
    }
  }
}
