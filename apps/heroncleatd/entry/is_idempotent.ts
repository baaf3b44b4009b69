/** Methods that may be run again by definition (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/**
 * Whether a call may be run again: as the selector says, else as the caller's
 * header says, else by its method.
 */
export function isIdempotent(
  method: string,
  options: { header: string | undefined; selector: boolean | undefined },
): boolean {
  if (options.selector !== undefined) {
    return options.selector;
  }
  if (options.header === "true" || options.header === "false") {
    return options.header === "true";
  }
  return IDEMPOTENT_METHODS.includes(method);
}
