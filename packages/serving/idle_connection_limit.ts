import { hashToUnit } from "./hash_to_unit.ts";

/** Idle connections of one entry to one upstream, at most. */
const MAX_IDLE = 16;
/** Share of an upstream's connections that may be idle. */
const IDLE_SHARE = 0.5;

/**
 * How many idle connections an entry keeps to an upstream: its even share,
 * rounded up at some entries and down at others by their names.
 *
 * @param options.maxConnections Accepted from all entries together.
 * @param options.upstream ID of the upstream.
 * @public
 */
export function idleConnectionLimit(
  { maxConnections, entryCount, entry, upstream }: {
    readonly maxConnections: number;
    readonly entryCount: number;
    readonly entry: string;
    readonly upstream: string;
  },
): number {
  const share = maxConnections * IDLE_SHARE / Math.max(1, entryCount);
  const rounded = Math.floor(share + hashToUnit.of(entry, upstream));
  return Math.min(MAX_IDLE, rounded);
}
