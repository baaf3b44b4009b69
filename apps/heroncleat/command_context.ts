import type { OperatorClient } from "./operator_client.ts";

/** Inputs of a command that calls the operator API. */
export type CommandContext = {
  readonly client: OperatorClient;
  /** Positional arguments after the command's name. */
  readonly args: readonly string[];
  readonly json: boolean;
  readonly options: Readonly<Record<string, string | undefined>>;
  readonly print: (text: string) => void;
};
