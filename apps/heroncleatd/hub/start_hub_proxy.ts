import type { Clock } from "@heroncleat/base";
import type { ReplicaList, UpstreamRecord } from "@heroncleat/serving";
import type { JoinReply } from "@heroncleat/schema";
import type { MethodHandler, PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import type { Metrics } from "../common/metrics.ts";
import { FoundingRegister } from "./founding_register.ts";
import { foundingCalls } from "./founding_calls.ts";
import { hubCalls } from "./hub_calls.ts";
import type { HubProxySettings } from "./hub_proxy_settings.ts";
import { MemberFinder } from "./member_finder.ts";
import type { PublishOutcome } from "./publish_outcome.ts";
import { ReplicaCalls } from "./replica_calls.ts";
import type { RunningHub } from "./running_hub.ts";
import type { StoredDocument } from "./serving_application.ts";
import type { UpdateOutcome } from "./update_outcome.ts";

/** Characters of somebody else's text that a log line holds. */
const MOST_LOGGED = 200;

/** What the proxy is started with. */
type StartOptions = {
  readonly settings: () => HubProxySettings;
  readonly pool: PeerPool;
  readonly serve: (methods: Readonly<Record<string, MethodHandler>>) => void;
  readonly clock: Clock;
  readonly log: (part: string) => Log;
  readonly metrics: Metrics;
};

/**
 * Starts the control role on a VM without a disk. It holds no replica: it
 * passes calls of operators and upstreams on to one, tells entries where the
 * replicas are, and as a seed helps them to found their group.
 */
export function startHubProxy(options: StartOptions): RunningHub {
  const { pool, clock, log, metrics, serve } = options;
  const { peerAddress, zone } = options.settings();
  const register = new FoundingRegister(clock.steady());
  const replicas = () => register.members;
  const calls = new ReplicaCalls({ pool, clock, zone, replicas });
  const groupLog = log("group");
  const finder = new MemberFinder({
    register,
    pool,
    seeds: () => options.settings().seeds,
    ownAddress: peerAddress,
    log: groupLog,
  });
  const passOn = async <Reply>(
    method: string,
    parameters: unknown,
    isTaken?: (reply: Reply) => boolean,
  ) => {
    metrics.increment("hub_proxy.calls");
    const answered = await calls.call<Reply>(method, parameters, isTaken);
    if (answered === undefined) {
      metrics.increment("hub_proxy.unanswered");
      groupLog.warn("No replica takes a call", {
        method,
        known: register.members.length,
      });
    }
    return answered;
  };
  const ask = async (method: string, parameters: unknown) => {
    const answered = await passOn(method, parameters);
    if (answered === undefined) {
      throw new Error("No replica answers. Remedy: ask again, or another one.");
    }
    return answered.reply;
  };
  const update = async (
    method: string,
    parameters: unknown,
  ): Promise<UpdateOutcome> => {
    const answered = await passOn<UpdateOutcome>(
      method,
      parameters,
      ({ kind }) => kind !== "unavailable",
    );
    if (answered?.reply.kind === "accepted") {
      return { kind: "accepted", heldBy: answered.from };
    }
    return answered?.reply ?? {
      kind: "unavailable",
      problem: "No control replica answers. Remedy: send it to another one.",
    };
  };
  serve({
    ...foundingCalls.methods(register, clock),
    "control.join": (): JoinReply => ({
      formed: register.founders.length > 0,
      members: [...register.members],
      founders: [...register.founders],
    }),
    "hub.sync": (): ReplicaList => ({
      replicas: register.members.map(({ address }) => address),
    }),
    [hubCalls.suspects]: (parameters) => ask(hubCalls.suspects, parameters),
    [hubCalls.clearSuspect]: (parameters) =>
      ask(hubCalls.clearSuspect, parameters),
    [hubCalls.status]: (parameters) => ask(hubCalls.status, parameters),
  });
  finder.start();
  return {
    publish: async ({ version }, source) => {
      const answered = await passOn<PublishOutcome>(
        hubCalls.publish,
        { version, source },
        (outcome) => outcome === "accepted",
      );
      return answered?.reply ?? "unavailable";
    },
    readDocument: async () => {
      const answered = await passOn<StoredDocument | "none" | "unavailable">(
        hubCalls.readDocument,
        {},
        (stored) => stored !== "unavailable",
      );
      return answered?.reply ?? "unavailable";
    },
    mergeUpstream: (record: UpstreamRecord) =>
      update(hubCalls.mergeUpstream, { record }),
    removeUpstream: (name, born) =>
      update(hubCalls.removeUpstream, { name, born }),
    noteUnreadable: (name, problem) => {
      metrics.increment("upstream_updates.refused.unreadable");
      log("operations").warn("Refused updates of an upstream", {
        upstream: name.slice(0, MOST_LOGGED),
        reason: "unreadable",
        problem: problem.slice(0, MOST_LOGGED),
      });
    },
    stop: () => {
      finder.stop();
      return Promise.resolve();
    },
  };
}
