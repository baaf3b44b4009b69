import type { Milliseconds } from "@heroncleat/base";
import {
  Hub,
  type PermitRequest,
  type SyncRequest,
  type UpstreamRecord,
} from "@heroncleat/serving";
import type { PeerPool } from "@heroncleat/transport";

/**
 * One-way latency between two VMs, including the processing at the receiver.
 */
const LATENCY_MS = 4;
/**
 * Control replicas on some hosts of a simulated network, in virtual time. Any
 * pair of hosts can be partitioned from each other.
 */
export class SimulatedReplicas {
  now = 0;
  /** Host of the leading replica; undefined while there is none. */
  leader: number | undefined;
  /** Whether two hosts can't reach each other. */
  isPartitioned: (left: number, right: number) => boolean = () => false;
  /** Hosts that run a control replica. */
  readonly hosts: readonly number[];
  readonly #hubs = new Map<number, Hub>();
  readonly #upstreams: UpstreamRecord[] = [];
  #restarts = 0;

  /** @param hosts Hosts that run a control replica; the first one leads. */
  constructor(hosts: readonly number[]) {
    this.hosts = hosts;
    this.leader = hosts[0];
    for (const host of hosts) {
      this.#hubs.set(host, new Hub(`feed-${host}`));
    }
  }

  /** Addresses of the replicas, as used by `poolOf`. */
  get addresses(): string[] {
    return this.hosts.map(String);
  }

  /** Replaces a replica by one that has lost what it held in memory. */
  restart(host: number): void {
    this.#restarts += 1;
    const hub = new Hub(`feed-${host}-${this.#restarts}`);
    this.#hubs.set(host, hub);
    for (const record of this.#upstreams) {
      hub.mergeUpstream(record, this.now);
    }
  }

  /** Adds an upstream that sends heartbeats to all replicas. */
  addUpstream(record: UpstreamRecord): void {
    this.#upstreams.push(record);
    for (const hub of this.#hubs.values()) {
      hub.mergeUpstream(record, this.now);
    }
  }

  /** Connections from one host to the replicas. */
  poolOf(host: number): PeerPool {
    return {
      call: async (
        address: string,
        method: string,
        { parameters, timeout }: {
          parameters: unknown;
          timeout: Milliseconds;
        },
      ) => {
        const replica = Number(address);
        await this.#waitOneWay(host, replica, timeout);
        const reply = this.#handle(replica, { method, parameters });
        const copy = structuredClone(reply);
        await this.#waitOneWay(replica, host, timeout);
        return copy;
      },
    } as unknown as PeerPool;
  }

  /** Delivers a datagram, or drops it if the hosts can't reach each other. */
  async sendDatagram(
    hosts: { readonly from: number; readonly to: number },
    deliver: () => void,
  ): Promise<void> {
    if (!this.isPartitioned(hosts.from, hosts.to)) {
      await new Promise((resolve) => setTimeout(resolve, LATENCY_MS));
      deliver();
    }
  }

  #handle(
    replica: number,
    call: { readonly method: string; readonly parameters: unknown },
  ): unknown {
    const hub = this.#hubs.get(replica)!;
    if (call.method === "hub.permits") {
      return hub.issuePermits(call.parameters as PermitRequest, this.now);
    }
    return hub.sync(call.parameters as SyncRequest, {
      now: this.now,
      document: undefined,
      controls: this.addresses,
      isLeading: replica === this.leader,
    });
  }

  /**
   * Waits for one direction of a call; throws after its timeout if the hosts
   * can't reach each other.
   */
  async #waitOneWay(
    from: number,
    to: number,
    timeout: Milliseconds,
  ): Promise<void> {
    const isUnreachable = from !== to && this.isPartitioned(from, to);
    await new Promise((resolve) =>
      setTimeout(resolve, isUnreachable ? timeout : LATENCY_MS)
    );
    if (isUnreachable) {
      throw new Error("The host is unreachable.");
    }
  }
}
