/** One line of the log of a heroncleat process. */
export type LogLine = {
  /** Wall clock of the process, in ms since 1970. */
  readonly at: number;
  readonly process: string;
  readonly level: string;
  readonly message: string;
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, string | number>>;
};
