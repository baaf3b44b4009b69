import type { Milliseconds } from "@heroncleat/base";
import type { Gossip, MemberRecord } from "@heroncleat/schema";
import type { KnownUpstream } from "./known_upstream.ts";
import type { MemberTable } from "./member_table.ts";
import type { UpstreamTable } from "./upstream_table.ts";

/** Transmissions per record, as a multiple of log2 of the group size. */
const TRANSMISSION_FACTOR = 3;

/** The state that gossip is selected from. */
type GossipSource = {
  readonly self: MemberRecord;
  readonly members: MemberTable;
  readonly upstreams: UpstreamTable;
  readonly now: Milliseconds;
};

/**
 * Selects the records to piggyback on a message: those transmitted least
 * often first, each a bounded number of times.
 *
 * @internal
 */
export const gossipBuffer = {
  select(source: GossipSource, maxRecords: number): Gossip {
    const { members, upstreams, now } = source;
    const limit = transmissionLimit(members.reachable().length);
    const selectedMembers = selectLeastTransmitted(members.all(), {
      limit,
      maxRecords,
    });
    const selectedUpstreams = selectLeastTransmitted<KnownUpstream>(
      upstreams.all(),
      {
        limit,
        maxRecords,
      },
    );
    return {
      members: [source.self, ...selectedMembers.map((member) => member.record)],
      upstreams: selectedUpstreams.map((known) =>
        upstreams.toRecord(known, now)
      ),
    };
  },

  /** All records, for an exchange of the full state. */
  fullState(source: GossipSource): Gossip {
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

function selectLeastTransmitted<Item extends { transmissions: number }>(
  all: Iterable<Item>,
  options: { limit: number; maxRecords: number },
): Item[] {
  const eligible = [...all].filter((item) =>
    item.transmissions < options.limit
  );
  eligible.sort((left, right) => left.transmissions - right.transmissions);
  const selected = eligible.slice(0, options.maxRecords);
  for (const item of selected) {
    item.transmissions += 1;
  }
  return selected;
}
