import {
  checkChangeCommand,
  checkClaimCommand,
  checkCustodyCommand,
  checkExpireCommand,
  checkOrderCommand,
  checkRefusalCommand,
  checkResolveCommand,
  type Validator,
} from "@heroncleat/schema";
import type { ControlCommand } from "./control_command.ts";

const CHECKS: Readonly<
  Record<ControlCommand["kind"], Validator<ControlCommand>>
> = {
  change: checkChangeCommand,
  refusal: checkRefusalCommand,
  order: checkOrderCommand,
  claim: checkClaimCommand,
  resolve: checkResolveCommand,
  expire: checkExpireCommand,
  custody: checkCustodyCommand,
};

/**
 * Whether a value may enter the log. A command that can't be applied would
 * end every replica that applies it, again at each start.
 */
export function isControlCommand(value: unknown): value is ControlCommand {
  if (typeof value !== "object" || value === null || !("kind" in value)) {
    return false;
  }
  const kind = String(value.kind);
  if (!Object.hasOwn(CHECKS, kind)) {
    return false;
  }
  return CHECKS[kind as ControlCommand["kind"]](value);
}
