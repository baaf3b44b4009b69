import type { Milliseconds } from "@heroncleat/base";
import type {
  ChosenUpstream,
  RequestClass,
  SendPermit,
  SendPermits,
} from "@heroncleat/serving";

/** What to do with a request, given the upstreams in the order of their cost. */
export type UpstreamDecision =
  | {
    readonly kind: "chosen";
    readonly chosen: ChosenUpstream;
    /** The permit that was used; undefined if none was needed. */
    readonly permit: SendPermit | undefined;
  }
  /** Request a permit for one of these first, as they cost less. */
  | {
    readonly kind: "ask";
    readonly upstreams: readonly string[];
    /** Whether another upstream could serve without a permit being issued. */
    readonly hasAlternative: boolean;
  }
  /** All upstreams have reached their rate limit. */
  | { readonly kind: "limited"; readonly upstreams: readonly string[] }
  | { readonly kind: "no_upstream" };

type FindOptions = {
  readonly permits: SendPermits;
  readonly requestClass: RequestClass;
  readonly now: Milliseconds;
  /**
   * Whether a permit was requested for this request before. It then takes what
   * is available rather than ask for something better again.
   */
  readonly hasAsked: boolean;
};

/**
 * Decides where to send a request among upstreams of which some have a rate
 * limit. One without a permit is passed over. A limit of rejections needs no
 * permit within this entry's share of the slots.
 */
export function findUpstream(
  ranked: readonly ChosenUpstream[],
  { permits, requestClass, now, hasAsked }: FindOptions,
): UpstreamDecision {
  // The upstreams are those of one service, which state the same.
  const limitsRejections = ranked.some(({ upstream }) =>
    permits.limitsRejections(upstream.record.id)
  );
  const askable: string[] = [];
  const limited: string[] = [];
  for (const chosen of confirmationsFirst(ranked, { permits, now })) {
    const { id, slots } = chosen.upstream.record;
    const { ownRequests } = chosen;
    const isLimited = permits.isLimited(id);
    const isOfRejections = permits.limitsRejections(id);
    // A new instance of such a service hasn't stated its limit yet.
    const isUnstated = limitsRejections && !isLimited;
    const isFree = isOfRejections || isUnstated
      ? permits.hasOwnSlot(id, { ownRequests, slots })
      : !isLimited;
    if (isFree || (!isUnstated && permits.isAvailable(id, now))) {
      return askable.length > 0 && !hasAsked
        ? { kind: "ask", upstreams: askable, hasAlternative: true }
        : {
          kind: "chosen",
          chosen,
          permit: isFree ? undefined : permits.take(id, now),
        };
    }
    limited.push(id);
    if (!isUnstated && permits.mayAsk(id, { requestClass, now })) {
      askable.push(id);
    }
  }
  if (askable.length > 0) {
    return { kind: "ask", upstreams: askable, hasAlternative: false };
  }
  return limited.length > 0
    ? { kind: "limited", upstreams: limited }
    : { kind: "no_upstream" };
}

/** Upstreams whose limit is to be confirmed come first. */
function confirmationsFirst(
  ranked: readonly ChosenUpstream[],
  { permits, now }: { permits: SendPermits; now: Milliseconds },
): ChosenUpstream[] {
  const isDue = ({ upstream }: ChosenUpstream) =>
    permits.isConfirmationDue(upstream.record.id, now);
  return [
    ...ranked.filter((chosen) => isDue(chosen)),
    ...ranked.filter((chosen) => !isDue(chosen)),
  ];
}
