/** Log of one component, whose name prefixes every message. */
export type Log = {
  debug(message: string, context?: Record<string, string | number>): void;
  info(message: string, context?: Record<string, string | number>): void;
  warn(message: string, context?: Record<string, string | number>): void;
  error(message: string, context?: Record<string, string | number>): void;
};
