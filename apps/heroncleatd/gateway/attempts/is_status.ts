/** Whether a reason is the status of a response that was received. */
export function isStatus(reason: string): boolean {
  return reason.startsWith("status ");
}
