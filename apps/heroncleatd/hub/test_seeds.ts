const SEED_COUNT = 3;

/** Peer addresses of the seeds of a test group. */
export function testSeeds(firstPort: number): string[] {
  return Array.from(
    { length: SEED_COUNT },
    (_, index) => `127.0.0.1:${firstPort + index}`,
  );
}
