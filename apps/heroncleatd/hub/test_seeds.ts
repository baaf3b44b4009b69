const FOUNDERS = 3;

/** Peer addresses of the replicas that found the group of a test. */
export function testSeeds(firstPort: number): string[] {
  return Array.from(
    { length: FOUNDERS },
    (_, at) => `127.0.0.1:${firstPort + at}`,
  );
}
