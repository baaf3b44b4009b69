import { splitList } from "@heroncleat/base";
import {
  Membership,
  type MembershipEffect,
  type MembershipEvent,
} from "@heroncleat/membership";
import { checkMembershipMessage } from "@heroncleat/schema";
import { Actor } from "../common/actor.ts";
import type { EntryContext } from "./entry_context.ts";
import type { MembershipActorMessage } from "./membership_actor_message.ts";
import type { MembershipListener } from "./membership_listener.ts";

const TICK_INTERVAL_MS = 25;
const INDIRECT_PROBES = 3;
const GOSSIP_RECORDS = 12;
const SYNC_INTERVAL_MS = 2000;
const RETENTION_MS = 60_000;
const UPDATE_FANOUT = 64;

type RunningMembership = {
  readonly actor: Actor<MembershipActorMessage>;
  stop(): void;
};

/** Starts the actor that owns the membership state. */
export function startMembership(
  context: EntryContext,
  listener: MembershipListener,
): RunningMembership {
  const membership = createMembership(context);
  const actor: Actor<MembershipActorMessage> = new Actor(context.system, {
    name: "membership",
    log: context.log("membership"),
    handle: (message) => {
      if (message.kind === "inspect") {
        message.read(membership);
        return;
      }
      handleEvent(message.event, { context, listener, membership });
    },
  });
  context.serve({
    "entry.membership": (message) => {
      if (checkMembershipMessage(message)) {
        actor.send({ kind: "event", event: { kind: "message", message } });
      }
    },
    "entry.status": () => readStatus(actor, context),
  });
  const timer = setInterval(
    () => actor.send({ kind: "event", event: { kind: "tick" } }),
    TICK_INTERVAL_MS,
  );
  return {
    actor,
    stop: () => {
      clearInterval(timer);
      actor.stop();
    },
  };
}

function createMembership(context: EntryContext): Membership {
  const { entry, clock } = context;
  const { daemon } = context.settings;
  return new Membership({
    name: context.name,
    address: daemon.advertised_peer_address ?? daemon.peer_address,
    callerAddress: entry.caller_address,
    zone: context.zone,
    incarnation: Math.floor(clock.wall()),
    seeds: splitList(entry.seeds),
    probeInterval: entry.probe_interval,
    probeTimeout: entry.probe_timeout,
    suspectTimeout: entry.suspect_timeout,
    upstreamLease: entry.upstream_lease,
    indirectProbes: INDIRECT_PROBES,
    maxGossipRecords: GOSSIP_RECORDS,
    syncInterval: SYNC_INTERVAL_MS,
    retention: RETENTION_MS,
    broadcastFanout: UPDATE_FANOUT,
  }, Math.random);
}

function handleEvent(
  event: MembershipEvent,
  options: {
    context: EntryContext;
    listener: MembershipListener;
    membership: Membership;
  },
): void {
  const { context, membership } = options;
  let membersChanged = false;
  for (const effect of membership.handle(event, context.clock.now())) {
    runEffect(effect, options);
    membersChanged ||= effect.kind === "member_changed";
  }
  if (membersChanged) {
    options.listener.onMembers(membership.members);
  }
}

function runEffect(
  effect: MembershipEffect,
  options: { context: EntryContext; listener: MembershipListener },
): void {
  const { context, listener } = options;
  switch (effect.kind) {
    case "send":
      context.pool.notify(effect.address, "entry.membership", effect.message);
      return;
    case "member_changed":
      context.log("membership").info(
        `Entry ${effect.member.name} is ${effect.member.state}`,
      );
      return;
    case "upstream_changed":
      listener.onUpstream(effect.upstream);
      return;
    case "upstream_lapsed":
      context.log("membership").warn(`Upstream ${effect.name} timed out`);
      listener.onUpstreamLapsed(effect.name);
      return;
    case "informed":
      context.log("membership").info(
        "Received the upstreams known to the other entries",
      );
      listener.onSynchronized();
      return;
  }
}

function readStatus(
  actor: Actor<MembershipActorMessage>,
  context: EntryContext,
): Promise<unknown> {
  return new Promise((resolve) => {
    actor.send({
      kind: "inspect",
      read: (membership) =>
        resolve({
          members: membership.members,
          upstreams: membership.upstreams(context.clock.now()),
        }),
    });
  });
}
