import type { Milliseconds } from "@heroncleat/base";
import { CounterReport } from "@heroncleat/serving";
import type { ControlLink } from "./control_link.ts";

/** Creates the link to a replica that hasn't replied yet. */
export function createControlLink(
  address: string,
  listedAt: Milliseconds,
): ControlLink {
  return {
    address,
    feed: "",
    revision: 0,
    followed: {},
    receivedAt: -Infinity,
    requestedAt: -Infinity,
    currentAt: -Infinity,
    hasFailed: false,
    isLeading: false,
    isPrimary: false,
    shortReportTimeout: undefined,
    listedAt,
    wallOffset: undefined,
    entries: new Map(),
    entryCount: 0,
    loadsSince: 0,
    suspectsSentRevision: 0,
    report: new CounterReport(),
    ongoingExchange: undefined,
    isExchangeQueued: false,
    isLost: true,
  };
}
