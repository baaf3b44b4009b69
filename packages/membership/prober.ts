import type { Milliseconds, Random } from "@heroncleat/base";
import type { Ack, Ping, PingRequest } from "@heroncleat/schema";
import type { KnownMember } from "./known_member.ts";
import type { MembershipSettings } from "./membership_settings.ts";
import type { MemberTable } from "./member_table.ts";
import type { Probe } from "./probe.ts";
import type { RelayedProbe } from "./relayed_probe.ts";
import { shuffle } from "./shuffle.ts";

/** A message of the prober, before gossip is added to it. */
type ProbeMessage =
  | Omit<Ping, "gossip">
  | Omit<Ack, "gossip">
  | Omit<PingRequest, "gossip">;

type ProberOptions = {
  readonly settings: MembershipSettings;
  readonly random: Random;
  readonly members: MemberTable;
  readonly send: (address: string, message: ProbeMessage) => void;
  /** Called when neither the direct nor an indirect probe was acknowledged. */
  readonly onProbeFailed: (name: string) => void;
};

/**
 * Pings the members in turn: directly, and through other members if the
 * direct ping isn't acknowledged in time.
 *
 * @internal
 */
export class Prober {
  readonly #options: ProberOptions;
  readonly #relayedProbes = new Map<number, RelayedProbe>();
  #probeOrder: string[] = [];
  #probes: Probe[] = [];
  #lastNumber = 0;
  #nextProbeAt: Milliseconds = 0;

  constructor(options: ProberOptions) {
    this.#options = options;
  }

  tick(now: Milliseconds): void {
    this.#checkProbes(now);
    if (now >= this.#nextProbeAt) {
      this.#nextProbeAt = now + this.#options.settings.probeInterval;
      this.#probeNext(now);
    }
  }

  /** Postpones the deadlines of open probes after a pause of the process. */
  extendDeadlines(pause: Milliseconds): void {
    for (const probe of this.#probes) {
      probe.indirectProbeAt += pause;
      probe.suspectAt += pause;
    }
  }

  onPing(ping: Ping): void {
    const sender = this.#options.members.get(ping.from);
    if (sender !== undefined) {
      this.#ack(sender, ping.number);
    }
  }

  onAck(ack: Ack): void {
    const relayed = this.#relayedProbes.get(ack.number);
    if (relayed === undefined) {
      this.#probes = this.#probes.filter(({ number }) => number !== ack.number);
      return;
    }
    this.#relayedProbes.delete(ack.number);
    const requester = this.#options.members.get(relayed.requester);
    if (requester !== undefined) {
      this.#ack(requester, relayed.requesterNumber);
    }
  }

  onPingRequest(request: PingRequest, now: Milliseconds): void {
    const { members, settings } = this.#options;
    const target = members.get(request.target);
    if (target === undefined) {
      return;
    }
    this.#relayedProbes.set(this.#nextNumber(), {
      requester: request.from,
      requesterNumber: request.number,
      expiresAt: now + 3 * settings.probeTimeout,
    });
    this.#ping(target);
  }

  #checkProbes(now: Milliseconds): void {
    const open: Probe[] = [];
    for (const probe of this.#probes) {
      if (now >= probe.suspectAt) {
        this.#options.onProbeFailed(probe.target);
        continue;
      }
      if (now >= probe.indirectProbeAt && !probe.hasRequestedIndirectProbes) {
        probe.hasRequestedIndirectProbes = true;
        this.#requestIndirectProbes(probe);
      }
      open.push(probe);
    }
    this.#probes = open;
    for (const [number, relayed] of this.#relayedProbes) {
      if (now > relayed.expiresAt) {
        this.#relayedProbes.delete(number);
      }
    }
  }

  #probeNext(now: Milliseconds): void {
    const target = this.#nextTarget();
    if (target === undefined) {
      return;
    }
    const { probeTimeout } = this.#options.settings;
    this.#probes.push({
      number: this.#nextNumber(),
      target: target.record.name,
      indirectProbeAt: now + probeTimeout,
      suspectAt: now + 3 * probeTimeout,
      hasRequestedIndirectProbes: false,
    });
    this.#ping(target);
  }

  /**
   * Traverses all members in random order before it starts anew, which bounds
   * the time until each is probed.
   */
  #nextTarget(): KnownMember | undefined {
    const { members, random } = this.#options;
    while (true) {
      const name = this.#probeOrder.pop();
      if (name === undefined) {
        const names = members.reachable().map(({ record }) => record.name);
        if (names.length === 0) {
          return undefined;
        }
        this.#probeOrder = shuffle(names, random);
        continue;
      }
      const member = members.get(name);
      if (member !== undefined && member.record.state !== "dead") {
        return member;
      }
    }
  }

  #requestIndirectProbes(probe: Probe): void {
    const { members, settings, random, send } = this.#options;
    const others = members.reachable().filter(({ record }) =>
      record.name !== probe.target && record.state === "alive"
    );
    const relays = shuffle(others, random).slice(0, settings.indirectProbes);
    for (const relay of relays) {
      send(relay.record.address, {
        kind: "ping_request",
        from: settings.name,
        number: probe.number,
        target: probe.target,
      });
    }
  }

  #nextNumber(): number {
    this.#lastNumber += 1;
    return this.#lastNumber;
  }

  /** Pings with the number that was assigned last. */
  #ping(target: KnownMember): void {
    const { settings, send } = this.#options;
    send(target.record.address, {
      kind: "ping",
      from: settings.name,
      number: this.#lastNumber,
    });
  }

  #ack(receiver: KnownMember, number: number): void {
    const { settings, send } = this.#options;
    send(receiver.record.address, { kind: "ack", from: settings.name, number });
  }
}
