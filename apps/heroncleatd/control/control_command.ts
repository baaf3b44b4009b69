import type {
  ChangeCommand,
  ClaimCommand,
  CustodyCommand,
  ExpireCommand,
  OrderCommand,
  RefusalCommand,
  ResolveCommand,
} from "@heroncleat/schema";

/** A command in the replicated log of the control group. */
export type ControlCommand =
  | ChangeCommand
  | RefusalCommand
  | OrderCommand
  | ClaimCommand
  | ResolveCommand
  | ExpireCommand
  | CustodyCommand;
