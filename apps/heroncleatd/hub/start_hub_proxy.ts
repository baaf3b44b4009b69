import type { Clock } from "@heroncleat/base";
import type { ReplicaList, UpstreamRecord } from "@heroncleat/serving";
import type { Rollout } from "@heroncleat/rollouts";
import type { JoinReply } from "@heroncleat/schema";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { BootstrapRegistry } from "./bootstrap_registry.ts";
import { bootstrapCalls } from "./bootstrap_calls.ts";
import { hubCalls } from "./hub_calls.ts";
import type { HubProxySettings } from "./hub_proxy_settings.ts";
import { MemberFinder } from "./member_finder.ts";
import type { PublishOutcome } from "./publish_outcome.ts";
import { ReplicaCalls } from "./replica_calls.ts";
import type { RolloutOutcome } from "./rollout_outcome.ts";
import type { RunningHub } from "./running_hub.ts";
import type { StoredDocument } from "./serving_application.ts";
import type { UpdateOutcome } from "./update_outcome.ts";

/** Limits text from other processes in log lines. */
const MAX_LOGGED_CHARACTERS = 200;

type StartOptions = {
  readonly settings: () => HubProxySettings;
  readonly pool: PeerPool;
  readonly serve: (methods: Readonly<Record<string, MethodHandler>>) => void;
  readonly clock: Clock;
  readonly log: (part: string) => Log;
  readonly metrics: Metrics;
};

/**
 * Starts the control role on a VM without a disk: forwards calls of operators
 * and upstreams to a replica, sends replicas' addresses to entries, and as a
 * seed takes part in the group bootstrap.
 */
export function startHubProxy(options: StartOptions): RunningHub {
  const { pool, clock, log, metrics, serve } = options;
  const { peerAddress, zone } = options.settings();
  const registry = new BootstrapRegistry(clock.steady());
  const replicas = () => registry.members;
  const calls = new ReplicaCalls({ pool, clock, zone, replicas });
  const groupLog = log("group");
  const finder = new MemberFinder({
    registry,
    pool,
    seeds: () => options.settings().seeds,
    ownAddress: peerAddress,
    log: groupLog,
  });
  const forward = async <Reply>(
    method: string,
    parameters: unknown,
    isFinal?: (reply: Reply) => boolean,
  ) => {
    metrics.increment("hub_proxy.calls");
    const response = await calls.call<Reply>(method, parameters, isFinal);
    if (response === undefined) {
      metrics.increment("hub_proxy.unanswered");
      groupLog.warn("No replica handled a call", {
        method,
        known: registry.members.length,
      });
    }
    return response;
  };
  const forwardOrThrow = async (method: string, parameters: unknown) => {
    const response = await forward(method, parameters);
    if (response === undefined) {
      throw new Error(
        "No replica responded. Remedy: retry, or use another control process.",
      );
    }
    return response.reply;
  };
  const forwardUpdate = async (
    method: string,
    parameters: unknown,
  ): Promise<UpdateOutcome> => {
    const response = await forward<UpdateOutcome>(
      method,
      parameters,
      ({ kind }) => kind !== "unavailable",
    );
    if (response?.reply.kind === "accepted") {
      return { kind: "accepted", heldBy: response.from };
    }
    return response?.reply ?? {
      kind: "unavailable",
      problem: "No control replica responded. Remedy: send it to another one.",
    };
  };
  serve({
    ...bootstrapCalls.methods(registry, clock),
    "control.join": (): JoinReply => ({
      formed: registry.initialMembers.length > 0,
      members: [...registry.members],
      founders: [...registry.initialMembers],
    }),
    "hub.sync": (): ReplicaList => ({
      replicas: registry.members.map(({ address }) => address),
    }),
    [hubCalls.rateLimits]: (parameters) =>
      forwardOrThrow(hubCalls.rateLimits, parameters),
    [hubCalls.suspects]: (parameters) =>
      forwardOrThrow(hubCalls.suspects, parameters),
    [hubCalls.clearSuspect]: (parameters) =>
      forwardOrThrow(hubCalls.clearSuspect, parameters),
    [hubCalls.status]: (parameters) =>
      forwardOrThrow(hubCalls.status, parameters),
  });
  finder.start();
  return {
    publish: async ({ version }, source) => {
      const response = await forward<PublishOutcome>(
        hubCalls.publish,
        { version, source },
        (outcome) => outcome === "accepted",
      );
      return response?.reply ?? "unavailable";
    },
    readDocument: async () => {
      const response = await forward<StoredDocument | "none" | "unavailable">(
        hubCalls.readDocument,
        {},
        (stored) => stored !== "unavailable",
      );
      return response?.reply ?? "unavailable";
    },
    startRollout: async (order) => {
      const response = await forward<RolloutOutcome>(
        hubCalls.startRollout,
        order,
        (outcome) => outcome !== "unavailable",
      );
      return response?.reply ?? "unavailable";
    },
    readRollout: async (service) => {
      const response = await forward<Rollout | "none" | "unavailable">(
        hubCalls.readRollout,
        { service },
        (rollout) => rollout !== "unavailable",
      );
      return response?.reply ?? "unavailable";
    },
    mergeUpstream: (record: UpstreamRecord) =>
      forwardUpdate(hubCalls.mergeUpstream, { record }),
    removeUpstream: (name, born) =>
      forwardUpdate(hubCalls.removeUpstream, { name, born }),
    recordUnreadable: (name, problem) => {
      metrics.increment("upstream_updates.refused.unreadable");
      log("operations").warn("Refused updates of an upstream", {
        upstream: name.slice(0, MAX_LOGGED_CHARACTERS),
        reason: "unreadable",
        problem: problem.slice(0, MAX_LOGGED_CHARACTERS),
      });
    },
    stop: () => {
      finder.stop();
      return Promise.resolve();
    },
  };
}
