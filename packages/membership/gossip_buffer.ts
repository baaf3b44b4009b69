import type { Milliseconds } from "@heroncleat/base";
import type { Gossip, MemberRecord } from "@heroncleat/schema";
import type { KnownUpstream } from "./known_upstream.ts";
import type { MemberTable } from "./member_table.ts";
import type { UpstreamTable } from "./upstream_table.ts";

/** Times the logarithm of the group's size that a record is passed on. */
const TRANSMISSION_FACTOR = 3;

/** What gossip is taken from. */
type GossipSource = {
  readonly self: MemberRecord;
  readonly members: MemberTable;
  readonly upstreams: UpstreamTable;
  readonly now: Milliseconds;
};

/**
 * Chooses the news that rides on a message: the records passed on least
 * often, each for a bounded number of times.
 *
 * @internal
 */
export const gossipBuffer = {
  take(source: GossipSource, most: number): Gossip {
    const { members, upstreams, now } = source;
    const limit = transmissionLimit(members.reachable().length);
    const chosenMembers = leastSent(members.all(), { limit, most });
    const chosenUpstreams = leastSent<KnownUpstream>(upstreams.all(), {
      limit,
      most,
    });
    return {
      members: [source.self, ...chosenMembers.map((member) => member.record)],
      upstreams: chosenUpstreams.map((known) => upstreams.toRecord(known, now)),
    };
  },

  /** Everything that is known. */
  whole(source: GossipSource): Gossip {
    const { members, upstreams, now } = source;
    return {
      members: [
        source.self,
        ...[...members.all()].map((member) => member.record),
      ],
      upstreams: [...upstreams.all()].map((known) =>
        upstreams.toRecord(known, now)
      ),
    };
  },
};

function transmissionLimit(size: number): number {
  return TRANSMISSION_FACTOR * Math.ceil(Math.log2(size + 2));
}

function leastSent<Known extends { transmissions: number }>(
  all: Iterable<Known>,
  options: { limit: number; most: number },
): Known[] {
  const waiting = [...all].filter((known) =>
    known.transmissions < options.limit
  );
  waiting.sort((left, right) => left.transmissions - right.transmissions);
  const chosen = waiting.slice(0, options.most);
  for (const known of chosen) {
    known.transmissions += 1;
  }
  return chosen;
}
