import { connect, createServer, type Server, type Socket } from "node:net";
import { type Milliseconds, splitAddress } from "@heroncleat/base";

/** First two numbers of the addresses at which halves of links are held. */
const TICKET_NETWORK = "127.200";
/** Tickets, one for each link that waits to be fetched. */
const TICKETS = 60_000;

/** Two hosts, the one that connects first. */
type LinkEnds = { readonly from: string; readonly to: string };

/** What a link does to bytes in one direction. */
type Flow = "passing" | "held" | "lost";

/** One connection by way of the proxy. */
class Link {
  readonly ends: LinkEnds;
  readonly #delay: () => Milliseconds;
  readonly #halves: { near: Socket | undefined; far: Socket };
  /** Bytes on their way, oldest first, from the near and the far half. */
  readonly #queues = { near: [] as Buffer[], far: [] as Buffer[] };
  readonly #flows: { near: Flow; far: Flow } = {
    near: "passing",
    far: "passing",
  };
  readonly #ended = new Set<"near" | "far">();
  /** When the last bytes of a half are passed on. */
  readonly #dueAt: { near: Milliseconds; far: Milliseconds } = {
    near: 0,
    far: 0,
  };

  constructor(
    ends: LinkEnds,
    options: { far: Socket; delay: () => Milliseconds },
  ) {
    this.ends = ends;
    this.#delay = options.delay;
    this.#halves = { near: undefined, far: options.far };
    this.#watch("far", options.far);
  }

  /** Whether nothing can come over it any more. */
  get isOver(): boolean {
    return this.#ended.size === 2;
  }

  /** Takes the half of the process that connects. */
  attach(near: Socket): void {
    this.#halves.near = near;
    this.#watch("near", near);
    this.#flush("far");
  }

  /** Sets what happens to bytes that one host sends. */
  setFlow(sender: string, flow: Flow): void {
    const side = sender === this.ends.from ? "near" : "far";
    if (this.#flows[side] !== "lost") {
      this.#flows[side] = flow;
      this.#flush(side);
    }
  }

  /** Breaks it so that both ends notice. */
  reset(): void {
    for (const socket of [this.#halves.near, this.#halves.far]) {
      socket?.resetAndDestroy();
    }
    this.#ended.add("near").add("far");
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
      this.#ended.add(side);
      this.#flush(side);
    });
  }

  /** Passes on what one half has sent, and then its end. */
  #flush(side: "near" | "far"): void {
    const other = side === "near" ? this.#halves.far : this.#halves.near;
    if (this.#flows[side] !== "passing" || other === undefined) {
      return;
    }
    for (const bytes of this.#queues[side].splice(0)) {
      other.write(bytes);
    }
    if (this.#ended.has(side) && !other.destroyed) {
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
  readonly #tickets = new Map<string, Link>();
  /** Cut directions, as "from to". */
  readonly #cuts = new Set<string>();
  /** Links that are to be opened once their cut is over. */
  readonly #waiting = new Map<Socket, () => void>();
  readonly #delays = new Map<string, Milliseconds>();
  #nextTicket = 0;

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
  cut(from: string, to: string): void {
    this.#cuts.add(`${from} ${to}`);
    this.#setFlows({ from, to }, "held");
  }

  /** Ends all cuts from one host to another; what was held arrives. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from} ${to}`);
    this.#setFlows({ from, to }, "passing");
    for (const open of [...this.#waiting.values()]) {
      open();
    }
  }

  /** Lets open links between two hosts fall silent for good. */
  silence(left: string, right: string): void {
    this.#setFlows({ from: left, to: right }, "lost");
    this.#setFlows({ from: right, to: left }, "lost");
  }

  /** Resets the open links of a host. */
  reset(host: string): void {
    for (const link of [...this.#links]) {
      if (link.ends.from === host || link.ends.to === host) {
        link.reset();
        this.#links.delete(link);
      }
    }
  }

  /** Delays what a host sends and receives by a time each way. */
  delay(host: string, time: Milliseconds): void {
    this.#delays.set(host, time);
  }

  #setFlows({ from, to }: LinkEnds, flow: Flow): void {
    for (const link of this.#links) {
      const { ends } = link;
      const isBetween = (ends.from === from && ends.to === to) ||
        (ends.from === to && ends.to === from);
      if (isBetween) {
        link.setFlow(from, flow);
      }
    }
  }

  #accept(socket: Socket): void {
    socket.on("error", () => {});
    const ticket = socket.localAddress ?? "";
    const link = this.#tickets.get(ticket);
    if (link !== undefined) {
      this.#tickets.delete(ticket);
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
    if (this.#cuts.has(`${from} ${to}`) || this.#cuts.has(`${to} ${from}`)) {
      this.#waiting.set(asking, () => this.#open(asking, { from, target }));
      return;
    }
    this.#waiting.delete(asking);
    if (asking.destroyed) {
      return;
    }
    const far = connect({ host: to, port, localAddress: from });
    far.once("error", () => asking.end("refused\n"));
    far.once("connect", () => {
      const delay = () => this.#delayOf(from) + this.#delayOf(to);
      const link = new Link({ from, to }, { far, delay });
      this.#links.add(link);
      this.#forgetEnded();
      asking.end(`${this.#issueTicket(link)}\n`);
    });
  }

  #delayOf(host: string): Milliseconds {
    return this.#delays.get(host) ?? 0;
  }

  #issueTicket(link: Link): string {
    this.#nextTicket = (this.#nextTicket + 1) % TICKETS;
    const high = Math.floor(this.#nextTicket / 250);
    const low = 1 + this.#nextTicket % 250;
    const ticket = `${TICKET_NETWORK}.${high}.${low}`;
    this.#tickets.set(ticket, link);
    return ticket;
  }

  #forgetEnded(): void {
    for (const link of this.#links) {
      if (link.isOver) {
        this.#links.delete(link);
      }
    }
  }
}
