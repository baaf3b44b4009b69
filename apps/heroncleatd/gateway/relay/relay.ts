import { type Clock, type Milliseconds, splitAddress } from "@heroncleat/base";
import { type KnownEntry, RelayEntries } from "@heroncleat/serving";
import type { Metrics } from "../../common/metrics.ts";
import { lacksDescriptors } from "../../common/lacks_descriptors.ts";
import { refusesConnections } from "../../common/refuses_connections.ts";
import type { AttemptOptions } from "../attempts/attempt_options.ts";
import { AttemptTrace } from "../attempts/attempt_trace.ts";
import type { CallerRequest } from "../caller_request.ts";
import { forwardHeaders } from "../forward_headers.ts";
import type { HeaderNames } from "../header_names.ts";
import { relayGrants } from "./relay_grants.ts";
import { relayHeaders } from "./relay_headers.ts";
import { RelayRefusal } from "./relay_refusal.ts";
import { sendToUpstream } from "../upstreams/send_to_upstream.ts";
import type { UpstreamAgent } from "../upstreams/upstream_agent.ts";
import type { UpstreamResponse } from "../upstreams/upstream_response.ts";

/** Entries that are asked for one attempt, at most. */
const MAX_ENTRIES = 6;
/** Time in which the process of an entry that ends closes its connections. */
const ENTRY_EXIT_TIME: Milliseconds = 30;

type RelayOptions = {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** Port on which all entries accept requests of other entries. */
  readonly port: number;
  readonly secret: string;
  readonly listEntries: () => readonly KnownEntry[];
  readonly agent: UpstreamAgent;
  readonly names: HeaderNames;
  readonly clock: Pick<Clock, "steady">;
  readonly metrics: Metrics;
  readonly random: () => number;
};

/** The outcome of an attempt through another entry. */
type RelayResult =
  | {
    readonly kind: "sent";
    readonly entry: string;
    readonly response: Exclude<UpstreamResponse, { kind: "withdrawn" }>;
    readonly trace: AttemptTrace;
    /** Whether the entry refuses connections now. */
    readonly hasCrashed: () => Promise<boolean>;
    /** Records that the response exceeded a limit. */
    readonly recordInvalid: () => void;
    /** Must be called once, when the response has ended. */
    readonly end: () => void;
  }
  /** No entry that was asked runs the request. */
  | {
    readonly kind: "refused";
    readonly refusal: RelayRefusal;
    readonly retryAfter: Milliseconds | undefined;
  };

/**
 * Passes on requests to other entries while this one reaches no upstream. Each
 * request takes one hop at most: entries don't pass on what they got this way.
 */
export class Relay {
  readonly #options: RelayOptions;
  readonly #entries = new RelayEntries();

  constructor(options: RelayOptions) {
    this.#options = options;
  }

  /** Sends one attempt through the best entry that accepts it. */
  async send(
    call: CallerRequest,
    options: AttemptOptions,
  ): Promise<RelayResult> {
    const { name, zone, region, clock, random, metrics } = this.#options;
    const asked = new Set([name]);
    const refusingZones = new Set<string>();
    let last: RelayResult = refusedBy(RelayRefusal.noUpstream, undefined);
    while (asked.size <= MAX_ENTRIES && !options.signal.aborted) {
      const entry = this.#entries.choose(this.#options.listEntries(), {
        service: call.service,
        zone,
        region,
        excluded: asked,
        refusingZones,
        now: clock.steady(),
        random,
      });
      if (entry === undefined) {
        break;
      }
      asked.add(entry.name);
      metrics.increment("relay.sent");
      const sent = await this.#sendTo(entry, call, options);
      const { response } = sent;
      const isFaulty = response.kind === "unknown" &&
        (response.isBroken || response.exceeded !== undefined);
      if (isFaulty && !options.signal.aborted) {
        sent.recordInvalid();
      }
      if (response.kind !== "not_run" || wasSent(response)) {
        if (response.kind !== "unknown") {
          this.#entries.recordServed(entry.name, call.service, clock.steady());
        }
        return sent;
      }
      sent.end();
      last = refusedBy(refusalOf(response), retryAfterOf(response));
      metrics.increment(`relay.refused.${last.refusal}`);
      options.recordRefusal(
        sent.trace.describe(`refused, ${last.refusal}, ${response.reason}`),
      );
      if (lacksDescriptors(response.reason)) {
        // Another entry may have a kept connection.
        metrics.increment("gateway.without_descriptor");
        continue;
      }
      if (
        last.refusal === RelayRefusal.unreachable && !options.signal.aborted
      ) {
        this.#entries.recordUnable(entry.name, call.service, clock.steady());
      }
      if (last.refusal === RelayRefusal.inDoubt) {
        this.#entries.recordDoubt(entry.name, call.service, clock.steady());
      }
      refusingZones.add(entry.zone);
      if (isFinal(last.refusal)) {
        break;
      }
    }
    return last;
  }

  async #sendTo(
    entry: KnownEntry,
    call: CallerRequest,
    options: AttemptOptions,
  ): Promise<Extract<RelayResult, { kind: "sent" }>> {
    const { clock, names, agent, port, name, secret } = this.#options;
    const sentAfter = Math.round(clock.steady() - call.arrivedAt);
    const end = this.#entries.begin(entry.name);
    const grant = relayGrants.sign({
      entry: name,
      service: call.service,
      workspace: call.workspace?.name,
      documentVersion: call.documentVersion,
      excluded: [...options.excluded],
      version: options.version,
      isUsageCounted: options.isUsageCounted,
    }, { secret, request: call });
    const headers = forwardHeaders.toEntry(call, {
      names,
      timeLeft: Math.max(1, call.deadline - clock.steady()),
      lastEvent: options.lastEvent,
    });
    const address = `${splitAddress(entry.address).host}:${port}`;
    const response = await sendToUpstream(call, {
      address,
      agent,
      headers: [...headers, relayHeaders.grant, grant],
      names,
      signal: options.signal,
      onWritten: () =>
        call.progress.recordSent(`entry:${entry.name}`, clock.steady()),
    });
    const headAfter = Math.round(clock.steady() - call.arrivedAt - sentAfter);
    if (response.kind === "withdrawn") {
      throw new Error("A request to an entry is never withdrawn.");
    }
    const trace = new AttemptTrace(
      `entry:${entry.name}`,
      () => [
        `sent_after=${sentAfter}ms`,
        `head_after=${headAfter}ms`,
      ],
    );
    return {
      kind: "sent",
      entry: entry.name,
      response,
      trace,
      hasCrashed: () => refusesConnections(address, { hold: ENTRY_EXIT_TIME }),
      recordInvalid: () =>
        this.#entries.recordUnable(entry.name, call.service, clock.steady()),
      end,
    };
  }
}

function refusedBy(
  refusal: RelayRefusal,
  retryAfter: Milliseconds | undefined,
): Extract<RelayResult, { kind: "refused" }> {
  return { kind: "refused", refusal, retryAfter };
}

/** Whether an upstream got the request through the entry and rejected it. */
function wasSent(
  { message }: Extract<UpstreamResponse, { kind: "not_run" }>,
): boolean {
  return message?.headers[relayHeaders.wasSent] !== undefined;
}

/** Whether other entries would refuse for the same reason. */
function isFinal(refusal: RelayRefusal): boolean {
  return refusal === RelayRefusal.overloaded ||
    refusal === RelayRefusal.rejected || refusal === RelayRefusal.held;
}

/** An entry that can't be connected to counts as one that reaches none. */
function refusalOf(
  { message }: Extract<UpstreamResponse, { kind: "not_run" }>,
): RelayRefusal {
  const stated = message?.headers[relayHeaders.refusal];
  return Object.values(RelayRefusal).find((refusal) => refusal === stated) ??
    RelayRefusal.unreachable;
}

function retryAfterOf(
  { message }: Extract<UpstreamResponse, { kind: "not_run" }>,
): Milliseconds | undefined {
  const seconds = Number(message?.headers["retry-after"]);
  return seconds > 0 ? seconds * 1000 : undefined;
}
