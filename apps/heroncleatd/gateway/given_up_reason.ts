/**
 * Returns why a request was given up while its caller waits; undefined if it
 * wasn't.
 *
 * @param signal The signal that `createCallSignal` created for it.
 */
export function givenUpReason(
  { aborted, reason }: Pick<AbortSignal, "aborted" | "reason">,
): "time_up" | "shutting_down" | undefined {
  if (!aborted) {
    return undefined;
  }
  return reason === "shutting_down" ? "shutting_down" : "time_up";
}
