import { type Clock, unreachable } from "@heroncleat/base";
import type {
  DispatchNotice,
  EntryNotice,
  SuspectNotice,
} from "@heroncleat/schema";
import {
  FailureReports,
  NoticeThreshold,
  type ReportedSuspect,
  type UpstreamBalancer,
  type UpstreamDirectory,
} from "@heroncleat/serving";
import type { RateLimitWatcher } from "../../common/rate_limit_watcher.ts";
import type { SuspectWatcher } from "../../common/suspect_watcher.ts";
import type { ChargeSync } from "./charge_sync.ts";
import type { BreakWatcher } from "../upstreams/break_watcher.ts";
import type { StreamOriginExchange } from "../streams/stream_origin_exchange.ts";

/** Keeps a datagram of suspects below the UDP size limit. */
const SUSPECTS_PER_NOTICE = 10;

type HandlerOptions = {
  readonly clock: Pick<Clock, "steady">;
  /** Sends a notice to all other entries. */
  readonly broadcast: (notice: EntryNotice) => void;
  readonly directory: UpstreamDirectory;
  readonly breaks: Pick<BreakWatcher, "recordReport">;
  readonly choice: UpstreamBalancer;
  readonly suspects: SuspectWatcher;
  readonly rateLimits: RateLimitWatcher;
  readonly charges: ChargeSync;
  readonly streams: StreamOriginExchange;
};

/** Sends notices about upstreams to other entries, and applies theirs. */
export class NoticeHandler {
  readonly #options: HandlerOptions;
  readonly #dispatchThreshold = new NoticeThreshold();
  readonly #failureReports = new FailureReports();
  readonly #breakReports = new FailureReports();

  constructor(options: HandlerOptions) {
    this.#options = options;
  }

  announceDispatch(notice: DispatchNotice): void {
    const { clock, broadcast } = this.#options;
    if (this.#dispatchThreshold.admit(notice.readTime, clock.steady())) {
      broadcast(notice);
    }
  }

  reportFailure(upstream: string): void {
    const { clock, broadcast } = this.#options;
    if (this.#failureReports.admit(upstream, clock.steady())) {
      broadcast({ kind: "failure", upstream });
    }
  }

  reportBreak(upstream: string): void {
    const { clock, broadcast } = this.#options;
    if (this.#breakReports.admit(upstream, clock.steady())) {
      broadcast({ kind: "break", upstream });
    }
  }

  reportSuspects(updates: readonly ReportedSuspect[]): void {
    for (let start = 0; start < updates.length; start += SUSPECTS_PER_NOTICE) {
      const suspects = updates.slice(start, start + SUSPECTS_PER_NOTICE);
      this.#options.broadcast({
        kind: "suspects",
        suspects: suspects as SuspectNotice["suspects"],
      });
    }
  }

  /** @param from Host of the entry that sent the notice. */
  receive(notice: EntryNotice, from: string): void {
    const { clock, directory, choice, suspects, rateLimits, charges, streams } =
      this.#options;
    const now = clock.steady();
    switch (notice.kind) {
      case "dispatch":
        this.#dispatchThreshold.recordReceived(now);
        if (directory.get(notice.upstream) !== undefined) {
          choice.applyDispatchNotice(notice, now);
        }
        return;
      case "failure":
        this.#failureReports.record(notice.upstream, now);
        if (directory.get(notice.upstream) !== undefined) {
          choice.avoid(notice.upstream, now);
        }
        return;
      case "break":
        this.#breakReports.record(notice.upstream, now);
        this.#options.breaks.recordReport(notice.upstream);
        return;
      case "suspects":
        suspects.mergeReports(notice.suspects);
        return;
      case "rate_limit":
        if (directory.get(notice.upstream) !== undefined) {
          const { kind: _kind, ...limit } = notice;
          rateLimits.mergeReports([limit]);
        }
        return;
      case "charges":
        charges.receive(notice, from);
        return;
      case "stream_origins":
      case "stream_origin_query":
      case "stream_origin_reply":
        streams.receive(notice, from);
        return;
      default:
        unreachable(notice);
    }
  }
}
