import type { Milliseconds, Random } from "@heroncleat/base";
import { unreachable } from "@heroncleat/base";
import type {
  Announcement,
  Gossip,
  MemberRecord,
  MembershipMessage,
  Sync,
  UpstreamRecord,
} from "@heroncleat/schema";
import { gossipBuffer } from "./gossip_buffer.ts";
import type { MembershipEffect } from "./membership_effect.ts";
import type { MembershipEvent } from "./membership_event.ts";
import type { MembershipSettings } from "./membership_settings.ts";
import { MemberTable } from "./member_table.ts";
import { Prober } from "./prober.ts";
import { shuffle } from "./shuffle.ts";
import { UpstreamTable } from "./upstream_table.ts";

/**
 * Time after its start at which an entry counts as synchronized even if no
 * other member has sent it any upstreams, as in a new deployment.
 */
const INITIAL_SYNC_TIMEOUT: Milliseconds = 1000;

/**
 * Failure detection and dissemination between entries, based on SWIM (Das,
 * Gupta and Motivala, 2002), with gossip piggybacked on the probes. A state
 * machine without I/O: it takes events and returns effects.
 *
 * @public
 */
export class Membership {
  readonly #settings: MembershipSettings;
  readonly #random: Random;
  readonly #members = new MemberTable();
  readonly #upstreams: UpstreamTable;
  readonly #prober: Prober;
  #self: MemberRecord;
  #now: Milliseconds = 0;
  #nextSyncAt: Milliseconds = 0;
  #lastTick: Milliseconds | undefined;
  #startedAt: Milliseconds | undefined;
  #isSynchronized = false;
  #effects: MembershipEffect[] = [];

  constructor(settings: MembershipSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
    this.#upstreams = new UpstreamTable(settings.upstreamLease);
    this.#prober = new Prober({
      settings,
      random,
      members: this.#members,
      send: (address, message) => {
        const gossip = this.#selectGossip(this.#now);
        this.#send(address, { ...message, gossip });
      },
      onProbeFailed: (name) => this.#onProbeFailed(name, this.#now),
    });
    this.#self = {
      name: settings.name,
      address: settings.address,
      callerAddress: settings.callerAddress,
      zone: settings.zone,
      incarnation: settings.incarnation,
      state: "alive",
      revision: 0,
    };
  }

  get self(): MemberRecord {
    return this.#self;
  }

  /** All members in the table, whatever their state, with this entry first. */
  get members(): MemberRecord[] {
    const others = [...this.#members.all()].map((member) => member.record);
    return [this.#self, ...others];
  }

  /** Upstreams whose lease has not lapsed. */
  upstreams(now: Milliseconds): UpstreamRecord[] {
    return [...this.#upstreams.all()]
      .filter((known) => !known.isLapsed)
      .map((known) => this.#upstreams.toRecord(known, now));
  }

  handle(event: MembershipEvent, now: Milliseconds): MembershipEffect[] {
    this.#effects = [];
    this.#now = now;
    switch (event.kind) {
      case "tick":
        this.#onTick(now);
        break;
      case "message":
        this.#onMessage(event.message, now);
        break;
      case "announce":
        this.#onAnnouncement(event.announcement, now);
        break;
      case "revision":
        this.#self = { ...this.#self, revision: event.revision };
        break;
      case "leave":
        this.#onLeave();
        break;
      default:
        unreachable(event);
    }
    return this.#effects;
  }

  #onTick(now: Milliseconds): void {
    this.#extendTimeoutsAfterPause(now);
    this.#startedAt ??= now;
    if (now - this.#startedAt >= INITIAL_SYNC_TIMEOUT) {
      this.#becomeSynchronized();
    }
    this.#lapseUpstreamLeases(now);
    this.#prober.tick(now);
    this.#expireMembers(now);
    if (now >= this.#nextSyncAt) {
      this.#nextSyncAt = now + this.#settings.syncInterval;
      this.#syncWithRandomMember(now);
    }
  }

  /**
   * Emits the `informed` effect once. An entry that accepts requests before
   * this refuses them, because its upstream table is empty: 2 of 6 requests sent
   * at the first sign of health after a restart.
   */
  #becomeSynchronized(): void {
    if (!this.#isSynchronized) {
      this.#isSynchronized = true;
      this.#effects.push({ kind: "informed" });
    }
  }

  /**
   * Extends all timeouts by a pause of this process: acks and announcements
   * that arrived during the pause are still unread.
   */
  #extendTimeoutsAfterPause(now: Milliseconds): void {
    const pause = now - (this.#lastTick ?? now);
    this.#lastTick = now;
    if (pause < this.#settings.probeTimeout) {
      return;
    }
    this.#upstreams.extendLeases(pause);
    this.#prober.extendDeadlines(pause);
    for (const member of this.#members.all()) {
      if (member.record.state === "suspect") {
        member.stateChangedAt += pause;
      }
    }
  }

  #lapseUpstreamLeases(now: Milliseconds): void {
    for (const name of this.#upstreams.markLapsed(now)) {
      this.#effects.push({ kind: "upstream_lapsed", name });
    }
    this.#upstreams.removeLapsed(now - this.#settings.retention);
  }

  /**
   * Declares suspects dead after the suspicion timeout, and removes dead
   * members after the retention time.
   */
  #expireMembers(now: Milliseconds): void {
    for (const member of this.#members.all()) {
      const elapsed = now - member.stateChangedAt;
      const { state } = member.record;
      if (state === "suspect" && elapsed > this.#settings.suspectTimeout) {
        this.#mergeMember({ ...member.record, state: "dead" }, now);
      }
      if (state === "dead" && elapsed > this.#settings.retention) {
        this.#members.remove(member.record.name);
      }
    }
  }

  #onProbeFailed(name: string, now: Milliseconds): void {
    const member = this.#members.get(name);
    if (member?.record.state === "alive") {
      this.#mergeMember({ ...member.record, state: "suspect" }, now);
    }
    // A leaving member that fails a probe has shut down; it isn't suspected.
    if (member?.record.state === "leaving") {
      this.#mergeMember({ ...member.record, state: "dead" }, now);
    }
  }

  /**
   * Exchanges the full state with a random member and with seeds that aren't
   * members yet. Dead members are included, so that a healed partition merges.
   */
  #syncWithRandomMember(now: Milliseconds): void {
    const members = [...this.#members.all()];
    const addresses = new Set(members.map((member) => member.record.address));
    for (const seed of this.#settings.seeds) {
      if (seed !== this.#settings.address && !addresses.has(seed)) {
        this.#sendSync(seed, { reply: true, now });
      }
    }
    const partner = shuffle(members, this.#random)[0];
    if (partner !== undefined) {
      this.#sendSync(partner.record.address, { reply: true, now });
    }
  }

  #onMessage(message: MembershipMessage, now: Milliseconds): void {
    this.#mergeGossip(message.gossip, now);
    switch (message.kind) {
      case "ping":
        this.#prober.onPing(message);
        return;
      case "ack":
        this.#prober.onAck(message);
        return;
      case "ping_request":
        this.#prober.onPingRequest(message, now);
        return;
      case "sync":
        this.#onSync(message, now);
        return;
      case "news":
        return;
      default:
        unreachable(message);
    }
  }

  #onSync(sync: Sync, now: Milliseconds): void {
    if (sync.gossip.upstreams.length > 0) {
      this.#becomeSynchronized();
    }
    const sender = this.#members.get(sync.from);
    if (sync.reply && sender !== undefined) {
      this.#sendSync(sender.record.address, { reply: false, now });
    }
  }

  #onAnnouncement(announcement: Announcement, now: Milliseconds): void {
    const record = { announcement, heardBy: this.#settings.name, age: 0 };
    const previous = this.#upstreams.get(announcement.name);
    const wasServing = previous?.announcement.state !== "leaving";
    if (!this.#mergeUpstream(record, now)) {
      return;
    }
    if (announcement.state === "leaving" && wasServing) {
      this.#broadcast({ members: [this.#self], upstreams: [record] });
    }
  }

  #onLeave(): void {
    this.#self = { ...this.#self, state: "leaving" };
    this.#broadcast({ members: [this.#self], upstreams: [] });
  }

  #broadcast(gossip: Gossip): void {
    const targets = shuffle(this.#members.reachable(), this.#random);
    for (const target of targets.slice(0, this.#settings.broadcastFanout)) {
      this.#send(target.record.address, {
        kind: "news",
        from: this.#settings.name,
        gossip,
      });
    }
  }

  #mergeGossip(gossip: Gossip, now: Milliseconds): void {
    for (const record of gossip.members) {
      this.#mergeMember(record, now);
    }
    for (const record of gossip.upstreams) {
      this.#mergeUpstream(record, now);
    }
  }

  #mergeMember(record: MemberRecord, now: Milliseconds): void {
    if (record.name === this.#settings.name) {
      this.#refute(record);
      return;
    }
    if (this.#members.merge(record, now)) {
      this.#effects.push({ kind: "member_changed", member: record });
    }
  }

  /** Refutes a wrong record of this entry by raising its incarnation. */
  #refute(record: MemberRecord): void {
    const isStale = record.incarnation < this.#self.incarnation;
    const isSameState = record.incarnation === this.#self.incarnation &&
      record.state === this.#self.state;
    const isAlive = record.incarnation === this.#self.incarnation &&
      record.state === "alive";
    if (isStale || isSameState || isAlive) {
      return;
    }
    this.#self = { ...this.#self, incarnation: record.incarnation + 1 };
  }

  #mergeUpstream(record: UpstreamRecord, now: Milliseconds): boolean {
    if (!this.#upstreams.merge(record, now)) {
      return false;
    }
    const known = this.#upstreams.get(record.announcement.name)!;
    if (!known.isLapsed) {
      this.#effects.push({ kind: "upstream_changed", upstream: record });
    }
    return true;
  }

  #selectGossip(now: Milliseconds): Gossip {
    return gossipBuffer.select(
      this.#gossipSource(now),
      this.#settings.maxGossipRecords,
    );
  }

  #sendSync(
    address: string,
    options: { reply: boolean; now: Milliseconds },
  ): void {
    this.#send(address, {
      kind: "sync",
      from: this.#settings.name,
      reply: options.reply,
      gossip: gossipBuffer.fullState(this.#gossipSource(options.now)),
    });
  }

  #gossipSource(now: Milliseconds) {
    return {
      self: this.#self,
      members: this.#members,
      upstreams: this.#upstreams,
      now,
    };
  }

  #send(address: string, message: MembershipMessage): void {
    this.#effects.push({ kind: "send", address, message });
  }
}
