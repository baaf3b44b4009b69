/**
 * Names the software version of an upstream for comparison. Upstreams that
 * report none share a version of their own, the empty one.
 *
 * @public
 */
export function upstreamVersion(reported: string | undefined): string {
  return reported ?? "";
}
