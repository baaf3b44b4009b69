/** Idempotent methods (RFC 9110, section 9.2.2). */
const IDEMPOTENT_METHODS = ["GET", "HEAD", "PUT", "DELETE", "OPTIONS"];

/**
 * Whether a call may be repeated. The selector takes precedence over the
 * caller's header, and the header over the method.
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
