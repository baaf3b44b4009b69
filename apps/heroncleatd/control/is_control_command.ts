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

const VALIDATORS: Readonly<
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
 * Whether a value may be appended to the log. A malformed command would crash
 * every replica that applies it, and again after each restart.
 */
export function isControlCommand(value: unknown): value is ControlCommand {
  if (typeof value !== "object" || value === null || !("kind" in value)) {
    return false;
  }
  const kind = String(value.kind);
  if (!Object.hasOwn(VALIDATORS, kind)) {
    return false;
  }
  return VALIDATORS[kind as ControlCommand["kind"]](value);
}
