/** Writes short sentences with the prefix of one part. */
export type Log = {
  debug(sentence: string, context?: Record<string, string | number>): void;
  info(sentence: string, context?: Record<string, string | number>): void;
  warn(sentence: string, context?: Record<string, string | number>): void;
  error(sentence: string, context?: Record<string, string | number>): void;
};
