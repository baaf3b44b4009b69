import type { OperatorClient } from "./operator_client.ts";

/** What a command of the tool works with. */
export type CommandContext = {
  readonly client: OperatorClient;
  /** Words behind the command's name. */
  readonly words: readonly string[];
  readonly json: boolean;
  readonly options: Readonly<Record<string, string | undefined>>;
  readonly print: (text: string) => void;
};
