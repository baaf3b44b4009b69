import type { Milliseconds } from "@heroncleat/base";
import type { RequestKind } from "./request_kind.ts";

const TAIL_QUANTILE = 0.99;

/** A request over all its tries. */
type EndedRequest = {
  readonly isServed: boolean;
  readonly tries: number;
  /**
   * Time from the first try to the first byte of a response with status 200;
   * undefined without one.
   */
  readonly firstByteTime: Milliseconds | undefined;
};

/** What requests of one kind got over all their tries. @public */
export type RequestSummary = {
  readonly count: number;
  readonly servedShare: number;
  readonly triesPerRequest: number;
  /** Median and 99th percentile of the time to the first byte. */
  readonly firstByteTime: { median: Milliseconds; tail: Milliseconds };
};

/** Counts requests over all their tries, by kind. */
export class RequestTally {
  readonly #requests = new Map<RequestKind, EndedRequest[]>();

  record(kind: RequestKind, request: EndedRequest): void {
    const requests = this.#requests.get(kind) ?? [];
    requests.push(request);
    this.#requests.set(kind, requests);
  }

  summarize(): ReadonlyMap<RequestKind, RequestSummary> {
    const summaries = new Map<RequestKind, RequestSummary>();
    for (const [kind, requests] of this.#requests) {
      const count = requests.length;
      const tries = requests.reduce((sum, { tries }) => sum + tries, 0);
      const times = requests
        .flatMap(({ firstByteTime }) => firstByteTime ?? [])
        .sort((left, right) => left - right);
      const quantile = (share: number) =>
        Math.round(times[Math.floor(share * times.length)] ?? 0);
      summaries.set(kind, {
        count,
        servedShare: requests.filter(({ isServed }) => isServed).length / count,
        triesPerRequest: tries / count,
        firstByteTime: {
          median: quantile(0.5),
          tail: quantile(TAIL_QUANTILE),
        },
      });
    }
    return summaries;
  }
}
