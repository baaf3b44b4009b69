import type { Rollout } from "./rollout.ts";

/**
 * On which side of a rollout a version is: the one that it moves to, one that
 * it moves from, or one that was reverted earlier.
 *
 * @public
 */
export function versionSide(
  { destination, rejected }: Rollout,
  version: string | undefined,
): "destination" | "other" | "rejected" {
  if (version === destination) {
    return "destination";
  }
  return rejected.includes(version ?? "") ? "rejected" : "other";
}
