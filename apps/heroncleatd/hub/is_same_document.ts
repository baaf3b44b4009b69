import type { ServingCommand } from "./serving_command.ts";

/** Whether two commands publish the same version of the same document. */
export function isSameDocument(
  left: ServingCommand,
  right: ServingCommand,
): boolean {
  return left.kind === "publish" && right.kind === "publish" &&
    left.version === right.version && left.source === right.source;
}
