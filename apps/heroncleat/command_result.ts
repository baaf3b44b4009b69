import type { Fault } from "@heroncleat/base";
import type { Result } from "true-myth/result";

/** What a command came to: an exit code, or why it could not run. */
export type CommandResult = Result<number, Fault>;
