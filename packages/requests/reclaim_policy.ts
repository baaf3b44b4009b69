import type { ReclaimAction } from "./reclaim_action.ts";
import type { ReclaimSituation } from "./reclaim_situation.ts";

/**
 * Chooses what to do with a stream whose upstream is being reclaimed.
 *
 * @public
 */
export type ReclaimPolicy = (
  situation: ReclaimSituation,
) => typeof ReclaimAction[keyof typeof ReclaimAction];
