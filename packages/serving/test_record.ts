import type { UpstreamRecord } from "./upstream_record.ts";

/** Creates the record of an upstream for tests. */
export function testRecord(
  changes: Partial<UpstreamRecord> = {},
): UpstreamRecord {
  return {
    id: "u1",
    name: "u1",
    born: undefined,
    service: "writers",
    address: "10.0.0.1:80",
    zone: "a",
    slots: 4,
    sequence: 1,
    state: "ready",
    isSpot: false,
    leavesIn: undefined,
    ...changes,
  };
}
