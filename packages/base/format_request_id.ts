/**
 * Writes a request identifier, `owner~standby~token`. Any entry can tell from
 * it where the answer is held; the token makes it unguessable.
 *
 * @public
 */
export function formatRequestId(
  holders: { owner: string; standby: string },
  token: string,
): string {
  return `${holders.owner}~${holders.standby}~${token}`;
}
