/**
 * Formats a request identifier as `owner~standby~token`. It tells any entry
 * which entries hold the response; the token makes it unguessable.
 *
 * @public
 */
export function formatRequestId(
  holders: { owner: string; standby: string },
  token: string,
): string {
  return `${holders.owner}~${holders.standby}~${token}`;
}
