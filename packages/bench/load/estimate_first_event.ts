import type { Milliseconds } from "@heroncleat/base";
import type { EngineRun, LoadEngine } from "./load_engine.ts";
import type { OfferedRequest } from "./offered_request.ts";

/** When a request would begin and cost, from the true state of an engine. */
type TrueEstimate = {
  readonly firstEvent: Milliseconds;
  readonly waiting: Milliseconds;
  readonly prefillTime: Milliseconds;
};

/** Estimates the time to the first event of a request at an engine. */
export function estimateFirstEvent(
  engine: LoadEngine,
  request: OfferedRequest,
): TrueEstimate {
  const prefillLeft = (run: EngineRun) =>
    run.prefillLeft ?? engine.prefillTimeOf(run.request);
  const running = sum(engine.running.map(prefillLeft));
  const ahead = engine.queue.filter(({ request: { kind } }) =>
    kind.rank <= request.kind.rank
  );
  const prefillAhead = running + sum(ahead.map(prefillLeft));
  const { slots } = engine.settings;
  const needed = engine.running.length + ahead.length + 1 - slots;
  const ends = engine.running.map((run) => running + engine.decodeTimeLeft(run))
    .sort((left, right) => left - right);
  // Requests beyond the running ones end as far apart as these.
  const slotWait = needed <= 0 ? 0 : ends[Math.min(needed, ends.length) - 1]! *
    Math.max(1, needed / Math.max(1, ends.length));
  const waiting = Math.max(prefillAhead, slotWait) * engine.slowdown;
  const prefillTime = engine.prefillTimeOf(request) * engine.slowdown;
  return {
    firstEvent: waiting + prefillTime +
      engine.firstEventDecodeTime * engine.slowdown,
    waiting,
    prefillTime,
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
