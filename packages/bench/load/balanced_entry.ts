import type { Milliseconds } from "@heroncleat/base";
import {
  type ChosenUpstream,
  NoticeThreshold,
  type UpstreamBalancer,
} from "@heroncleat/serving";
import { REFERENCE_SPEED } from "./reference_speed.ts";
import type { DecisionContext } from "./decision_set.ts";
import type { EntryDecisions } from "./entry_decisions.ts";
import type { LoadReplica } from "./load_replica.ts";
import type { OfferedRequest } from "./offered_request.ts";

const ZONES = ["a", "b", "c"];
/** One-way network latency between two entries. */
const NETWORK_LATENCY: Milliseconds = 1;
/** Retry time where no upstream may serve. */
const NO_UPSTREAM_RETRY: Milliseconds = 1000;

type SentRequest = {
  readonly chosen: ChosenUpstream;
  readonly at: Milliseconds;
  firstTokenAfter: Milliseconds | undefined;
};

/** Decisions of an entry that vary between sets. */
export type BalancedEntryOptions = {
  readonly index: number;
  readonly context: DecisionContext;
  readonly replica: LoadReplica;
  readonly balancer: UpstreamBalancer;
  /** Delay after which a refused request may return; undefined if admitted. */
  readonly shed: (
    request: OfferedRequest,
    chosen: ChosenUpstream,
    now: Milliseconds,
  ) => Milliseconds | undefined;
  /** Other decisions learn how far an estimate was off. */
  readonly recordFirstToken?: (
    chosen: ChosenUpstream,
    took: Milliseconds,
    now: Milliseconds,
  ) => void;
  readonly exchange?: (now: Milliseconds) => void;
};

/** An entry that decides with the product's classes. */
export class BalancedEntry implements EntryDecisions {
  readonly #options: BalancedEntryOptions;
  readonly #threshold = new NoticeThreshold();
  /** Requests in flight by id. */
  readonly #sent = new Map<number, SentRequest>();
  /** Entries that receive notices of this one. */
  others: readonly BalancedEntry[] = [];

  constructor(options: BalancedEntryOptions) {
    this.#options = options;
    const { balancer, context: { load } } = options;
    // Entries have learned the speed of engines long before the play.
    balancer.prefillSpeeds.setReported({
      [load.kinds[0]!.service]: REFERENCE_SPEED / load.engine.prefillSpeed,
    });
  }

  decide(
    request: OfferedRequest,
    now: Milliseconds,
  ): ReturnType<EntryDecisions["decide"]> {
    const { balancer, context, index, shed } = this.#options;
    const { parts, promptTokens, kind } = request;
    const { slots, memoryTokens } = context.load.engine;
    const chosen = balancer.choose(context.upstreams(), {
      now,
      requiresHeartbeats: false,
      request: {
        service: kind.service,
        zone: ZONES[index % ZONES.length]!,
        parts,
        promptTokens,
        excluded: new Set(),
        engine: {
          slots,
          kvCapacityTokens: memoryTokens,
          kvTokenBytes: 0,
          linkMbps: 0,
          canMove: false,
        },
      },
    });
    if (chosen === undefined) {
      return { kind: "refused", retryAfter: NO_UPSTREAM_RETRY };
    }
    const retryAfter = shed(request, chosen, now);
    if (retryAfter !== undefined) {
      return { kind: "refused", retryAfter };
    }
    const notice = balancer.begin(chosen, { parts, now });
    this.#sent.set(request.id, {
      chosen,
      at: now,
      firstTokenAfter: undefined,
    });
    if (this.#threshold.admit(notice.readTime, now)) {
      context.schedule(() => {
        for (const other of this.others) {
          other.#receive(notice, now + NETWORK_LATENCY);
        }
      }, NETWORK_LATENCY);
    }
    return {
      kind: "sent",
      upstream: chosen.upstream.record.id,
      expected: chosen.expectedFirstTokenTime,
    };
  }

  recordFirstToken(
    request: OfferedRequest,
    took: Milliseconds,
    now: Milliseconds,
  ): void {
    const sent = this.#sent.get(request.id);
    if (sent !== undefined) {
      sent.firstTokenAfter = took;
      this.#options.balancer.recordFirstToken(sent.chosen, took);
      this.#options.recordFirstToken?.(sent.chosen, took, now);
    }
  }

  recordEnd(
    request: OfferedRequest,
    now: Milliseconds,
    isComplete: boolean,
  ): void {
    const sent = this.#sent.get(request.id);
    if (sent !== undefined) {
      const { chosen, at, firstTokenAfter } = sent;
      const run = isComplete ? { took: now - at, firstTokenAfter } : undefined;
      this.#options.balancer.end(chosen, run);
      this.#sent.delete(request.id);
    }
  }

  exchange(now: Milliseconds): void {
    const { balancer, index, replica, context } = this.#options;
    const { service } = context.load.kinds[0]!;
    const loads = replica.exchangeLoads(index, balancer.loads(now));
    balancer.replaceReportedLoads(loads, now);
    const speed = replica.exchangeSpeed(
      index,
      balancer.prefillSpeeds.measured()[service],
    );
    if (speed !== undefined) {
      balancer.prefillSpeeds.setReported({ [service]: speed });
    }
    this.#options.exchange?.(now);
  }

  #receive(
    notice: ReturnType<UpstreamBalancer["begin"]>,
    now: Milliseconds,
  ): void {
    this.#options.balancer.applyDispatchNotice(notice, now);
    this.#threshold.recordReceived(now);
  }
}
