import type { Milliseconds } from "@heroncleat/base";
import { exchangeInterval } from "@heroncleat/serving";
import type { ControlLink } from "./control_link.ts";

/** Time without a reply after which a replica counts as unreachable. */
const UNREACHABLE_TIMEOUT: Milliseconds = 1500;
/** Age of the primary's last reply up to which an entry may be current. */
const CURRENT_TIMEOUT: Milliseconds = 1000;
/** Intervals without a report after which an entry counts as unresponsive. */
const TIMEOUT_INTERVALS = 1.5;

/** An entry's links at one moment. */
type LinkView = {
  readonly links: Iterable<ControlLink>;
  /** host:port of the primary; empty if no replica is reachable. */
  readonly primary: string;
  readonly now: Milliseconds;
};

/**
 * Decides when an entry exchanges state with each control replica. Quotas and
 * loads need frequent exchanges with the primary. Those with the others matter
 * only while the network is divided, and are relaxed otherwise.
 */
export const exchangeSchedule = {
  /** Whether any replica has replied recently. */
  isConnected(links: Iterable<ControlLink>, now: Milliseconds): boolean {
    for (const { receivedAt } of links) {
      if (now - receivedAt < UNREACHABLE_TIMEOUT) {
        return true;
      }
    }
    return false;
  },

  /** Whether a replica has replied within its interval. */
  isReachable(
    { address, receivedAt, shortReportTimeout = 0 }: ControlLink,
    { primary, now }: Omit<LinkView, "links">,
  ): boolean {
    const timeout = address === primary
      ? UNREACHABLE_TIMEOUT
      : Math.max(UNREACHABLE_TIMEOUT, shortReportTimeout);
    return now - receivedAt < timeout;
  },

  /**
   * Whether all replicas are reachable and none but the primary has full
   * exchanges with entries.
   */
  isUndivided({ links, primary, now }: LinkView): boolean {
    for (const link of links) {
      const isOtherPrimary = link.isPrimary && link.address !== primary;
      const isReachable = exchangeSchedule.isReachable(link, { primary, now });
      if (isOtherPrimary || link.hasFailed || !isReachable) {
        return false;
      }
    }
    return true;
  },

  /**
   * Whether all replicas are reachable, and the primary's last reply isn't old.
   */
  mayBeCurrent(view: LinkView): boolean {
    for (const { address, currentAt } of view.links) {
      if (address === view.primary) {
        return view.now - currentAt < CURRENT_TIMEOUT &&
          exchangeSchedule.isUndivided(view);
      }
    }
    return false;
  },

  /** Largest number of entries that report to one reachable replica. */
  countEntries({ links, primary, now }: LinkView): number {
    let count = 0;
    for (const link of links) {
      if (exchangeSchedule.isReachable(link, { primary, now })) {
        count = Math.max(count, link.entryCount);
      }
    }
    return count;
  },

  /** Interval of the exchanges with a replica. */
  intervalOf(
    link: ControlLink,
    { primary, now, otherReplicas, isUndivided }: Omit<LinkView, "links"> & {
      readonly otherReplicas: number;
      readonly isUndivided: boolean;
    },
  ): Milliseconds {
    const { address, entryCount, shortReportTimeout } = link;
    const isShort = primary !== "" && address !== primary &&
      exchangeSchedule.isReachable(link, { primary, now });
    if (!isShort) {
      return exchangeInterval.full(entryCount);
    }
    if (shortReportTimeout === undefined || !isUndivided) {
      return exchangeInterval.short(entryCount);
    }
    return Math.min(
      exchangeInterval.relaxed(entryCount, otherReplicas),
      shortReportTimeout / TIMEOUT_INTERVALS,
    );
  },
};
