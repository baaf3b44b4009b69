import type { Fault } from "@heroncleat/base";
import type { Result } from "true-myth/result";

/** Exit code of a command, or the fault that kept it from running. */
export type CommandResult = Result<number, Fault>;
