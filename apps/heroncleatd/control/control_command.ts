import type {
  ChangeCommand,
  ClaimCommand,
  CustodyCommand,
  ExpireCommand,
  OrderCommand,
  RefusalCommand,
  ResolveCommand,
} from "@heroncleat/schema";

/** Commands in the replicated log. */
export type ControlCommand =
  | ChangeCommand
  | RefusalCommand
  | OrderCommand
  | ClaimCommand
  | ResolveCommand
  | ExpireCommand
  | CustodyCommand;
