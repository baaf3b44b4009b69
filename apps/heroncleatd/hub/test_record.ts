import type { UpstreamRecord } from "@heroncleat/serving";

/** What an upstream of `desk` says of itself. */
export function testRecord(
  name: string,
  options: { address: string; sequence: number },
): UpstreamRecord {
  return {
    id: name,
    name,
    born: undefined,
    service: "desk",
    zone: "zone-0",
    slots: 4,
    state: "ready",
    isSpot: false,
    leavesIn: undefined,
    ...options,
  };
}
