import type { Milliseconds } from "@heroncleat/base";
import type { DecisionContext } from "./decision_set.ts";
import type { EntryDecisions } from "./entry_decisions.ts";
import { estimateFirstEvent } from "./estimate_first_event.ts";
import type { OfferedRequest } from "./offered_request.ts";

/** Time for which the ceiling knows what comes. */
const FORESIGHT: Milliseconds = 1000;
/** A request that begins within this time is sent, even if it will be late. */
const MIN_WAIT: Milliseconds = 100;
/** Maximum share of the engine time that more urgent requests count for. */
const MAX_USED = 0.98;
const RETRY_DELAY: Milliseconds = 200;

/** Work at all engines together, by rank; index 0 is the most urgent. */
type Backlog = number[];

/**
 * Decides with the true state of all engines and the requests of the next
 * second. A request is sent if it will be on time, and if the benefit of those
 * that it makes late doesn't exceed its own.
 */
export class Ceiling implements EntryDecisions {
  readonly #context: DecisionContext;
  /** Index of the first request that has not arrived yet. */
  #next = 0;

  constructor(context: DecisionContext) {
    this.#context = context;
  }

  decide(
    request: OfferedRequest,
    now: Milliseconds,
  ): ReturnType<EntryDecisions["decide"]> {
    const options = this.#context.engines().map((engine) => ({
      engine,
      estimate: estimateFirstEvent(engine, request),
    }));
    const leastPrefill = Math.min(
      ...options.map(({ estimate }) => estimate.prefillTime),
    );
    // Prefill that another engine would spare delays later requests as much.
    const cost = ({ estimate }: typeof options[number]) =>
      estimate.firstEvent + estimate.prefillTime - leastPrefill;
    const best = options.reduce((left, right) =>
      cost(right) < cost(left) ? right : left
    );
    const { firstEvent, waiting } = best.estimate;
    const delayed = firstEvent + this.#delayByUrgent(request, waiting, now);
    const isOnTime = request.arrivedAt + request.kind.objective - now >=
      delayed;
    const isSent = isOnTime
      ? this.#isWorthIt(request, now)
      : waiting < MIN_WAIT;
    return isSent
      ? { kind: "sent", upstream: best.engine.id, expected: delayed }
      : { kind: "refused", retryAfter: RETRY_DELAY };
  }

  recordFirstToken(): void {}

  recordEnd(): void {}

  exchange(): void {}

  /**
   * Additional wait, as more urgent requests that come go first. They go on
   * coming as in the next second.
   */
  #delayByUrgent(
    { kind: { rank } }: OfferedRequest,
    waiting: Milliseconds,
    now: Milliseconds,
  ): Milliseconds {
    let urgentWork = 0;
    for (const other of this.#listComing(now)) {
      urgentWork += other.kind.rank < rank ? this.#workOf(other) : 0;
    }
    const used = Math.min(MAX_USED, urgentWork / this.#speed() / FORESIGHT);
    return waiting * used / (1 - used);
  }

  /** Engine time per unit of time. */
  #speed(): number {
    return this.#context.engines().reduce(
      (sum, { slowdown }) => sum + 1 / slowdown,
      0,
    );
  }

  #isWorthIt(request: OfferedRequest, now: Milliseconds): boolean {
    const benefit = request.kind.benefitOnTime;
    const work = this.#workOf(request);
    const coming = this.#listComing(now).filter((other) =>
      other.kind.benefitOnTime / this.#workOf(other) > benefit / work
    );
    const without = this.#sumBenefit(coming, this.#backlog(), now);
    const backlog = this.#backlog();
    backlog[request.kind.rank]! += work;
    return benefit + this.#sumBenefit(coming, backlog, now) >= without;
  }

  #listComing(now: Milliseconds): OfferedRequest[] {
    const { requests } = this.#context;
    while (
      this.#next < requests.length && requests[this.#next]!.arrivedAt <= now
    ) {
      this.#next += 1;
    }
    const coming: OfferedRequest[] = [];
    for (let index = this.#next; index < requests.length; index += 1) {
      if (requests[index]!.arrivedAt > now + FORESIGHT) {
        break;
      }
      coming.push(requests[index]!);
    }
    return coming;
  }

  /** Benefit of the requests that would be on time, as one fast engine. */
  #sumBenefit(
    coming: readonly OfferedRequest[],
    backlog: Backlog,
    now: Milliseconds,
  ): number {
    const speed = this.#speed();
    let benefit = 0;
    let at = now;
    for (const { arrivedAt, kind, ...request } of coming) {
      let done = (arrivedAt - at) * speed;
      at = arrivedAt;
      for (const [rank, work] of backlog.entries()) {
        const spent = Math.min(work, done);
        backlog[rank] = work - spent;
        done -= spent;
      }
      const work = this.#workOf({ arrivedAt, kind, ...request });
      let ahead = 0;
      for (let rank = 0; rank <= kind.rank; rank += 1) {
        ahead += backlog[rank]!;
      }
      if (ahead / speed + work <= kind.objective) {
        backlog[kind.rank]! += work;
        benefit += kind.benefitOnTime;
      }
    }
    return benefit;
  }

  #backlog(): Backlog {
    const backlog = Array.from({ length: 10 }, () => 0);
    for (const engine of this.#context.engines()) {
      for (const { request, prefillLeft } of engine.running) {
        // What runs is done first, whatever its rank.
        backlog[0]! += prefillLeft ?? engine.prefillTimeOf(request);
      }
      for (const { request } of engine.queue) {
        backlog[request.kind.rank]! += this.#workOf(request);
      }
    }
    return backlog;
  }

  /** Engine time of a request: prefill, or its share of the slots if longer. */
  #workOf(request: OfferedRequest): Milliseconds {
    const [engine] = this.#context.engines();
    return engine!.engineTimeOf(request);
  }
}
