/** One line of a process's log. */
export type LogLine = {
  /** Wall clock of the process, in ms since 1970. */
  readonly at: number;
  readonly process: string;
  readonly level: string;
  readonly message: string;
  /** Everything else that the line says. */
  readonly fields: Readonly<Record<string, string | number>>;
};
