import { type Milliseconds, ownValue } from "@heroncleat/base";
import type { UpstreamChanges } from "./upstream_changes.ts";
import type { UpstreamRecord } from "./upstream_record.ts";

/**
 * Time since an upstream first said that it drains, at most, as of the receipt
 * of a reply; undefined if it doesn't tell.
 *
 * @param options.transit Time since the reply was requested: it was created at
 *     some moment in between.
 * @public
 */
export function drainAgeOf(
  { id }: UpstreamRecord,
  { drainAges, transit }: Pick<UpstreamChanges, "drainAges"> & {
    transit: Milliseconds;
  },
): Milliseconds | undefined {
  const age = ownValue(drainAges ?? {}, id);
  return age === undefined ? undefined : age + transit;
}
