import type { Clock } from "@heroncleat/base";
import type { AppliedDocument } from "../applied_document.ts";

/** Describes for logs the configuration document in effect and its age in ms. */
export function describeChange(
  { version, at }: AppliedDocument,
  clock: Pick<Clock, "steady">,
): { appliedVersion: number; changeAge: number } {
  return {
    appliedVersion: version,
    changeAge: Math.round(clock.steady() - at),
  };
}
