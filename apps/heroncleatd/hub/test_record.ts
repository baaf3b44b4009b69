import type { UpstreamRecord } from "@heroncleat/serving";

/** Record of an upstream of the service `desk`. */
export function testRecord(
  name: string,
  options: { address: string; sequence: number; version?: string },
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
