import type { Milliseconds } from "@heroncleat/base";
import type { RequestOutcome } from "./soak_caller.ts";

/** Time from the beginning of a cut in which entries may notice it. */
const NOTICE_TIME: Milliseconds = 3000;
/** Requests on either side below which the shares aren't compared. */
const MIN_REQUESTS = 12;
/** Share that must be served where entries are cut off, of that elsewhere. */
const MIN_RELATIVE_SHARE = 2 / 3;

type Cut = {
  readonly hosts: ReadonlySet<string>;
  readonly beganAt: Milliseconds;
  readonly there: { served: number; sent: number };
  readonly elsewhere: { served: number; sent: number };
};

type CutOptions = {
  readonly wasEntryUndisturbed: (host: string, at: Milliseconds) => boolean;
  /**
   * Whether upstreams state rate limits. What is refused for them says nothing
   * about a cut.
   */
  readonly areRatesLimited: () => boolean;
  /**
   * Whether all ready upstreams reject requests, or had asked for a rest that
   * ends after a time. Then it is chance who is served.
   */
  readonly areAllAtRest: (since: Milliseconds) => boolean;
  readonly report: (text: string) => void;
};

/**
 * Checks that callers of entries that are cut off from all upstreams are served
 * about as often as those of other entries.
 */
export class CutChecks {
  readonly #options: CutOptions;
  readonly #cuts = new Set<Cut>();

  constructor(options: CutOptions) {
    this.#options = options;
  }

  /** Records the beginning of a cut; the returned function ends it. */
  begin(hosts: readonly string[]): () => void {
    const cut: Cut = {
      hosts: new Set(hosts),
      beganAt: performance.now(),
      there: { served: 0, sent: 0 },
      elsewhere: { served: 0, sent: 0 },
    };
    this.#cuts.add(cut);
    return () => {
      this.#cuts.delete(cut);
      this.#check(cut);
    };
  }

  recordOutcome({ entry, sentAt, status }: RequestOutcome): void {
    const host = entry.split(":")[0]!;
    const { wasEntryUndisturbed, areRatesLimited, areAllAtRest } =
      this.#options;
    const isLeftOut = areRatesLimited() || areAllAtRest(sentAt) ||
      !wasEntryUndisturbed(host, performance.now());
    if (isLeftOut) {
      return;
    }
    for (const cut of this.#cuts) {
      if (sentAt >= cut.beganAt + NOTICE_TIME) {
        const counts = cut.hosts.has(host) ? cut.there : cut.elsewhere;
        counts.sent += 1;
        counts.served += status === 200 ? 1 : 0;
      }
    }
  }

  #check({ there, elsewhere, hosts }: Cut): void {
    if (there.sent < MIN_REQUESTS || elsewhere.sent < MIN_REQUESTS) {
      return;
    }
    const expected = elsewhere.served / elsewhere.sent * MIN_RELATIVE_SHARE;
    if (there.served / there.sent < expected) {
      this.#options.report(
        `entries that reached no upstream (${[...hosts].join(" ")}) served ` +
          `${there.served} of ${there.sent} requests, the others ` +
          `${elsewhere.served} of ${elsewhere.sent}`,
      );
    }
  }
}
