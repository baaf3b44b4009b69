const CODES: ReadonlySet<string> = new Set(["EMFILE", "ENFILE"]);

/**
 * Whether an error's code says that this process, or its VM, has no descriptor
 * left, which says nothing about the other end of a connection.
 */
export function lacksDescriptors(code: string | undefined): boolean {
  return code !== undefined && CODES.has(code);
}
