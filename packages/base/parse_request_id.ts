/** What a request identifier says of its first holders. */
type RequestParts = {
  readonly owner: string;
  readonly standby: string;
  readonly token: string;
};

/** Between the parts; entry names can't contain it. */
const SEPARATOR = "~";

/**
 * Reads `owner~standby~token`. Missing parts are empty.
 *
 * @public
 */
export function parseRequestId(id: string): RequestParts {
  const [owner = "", standby = "", token = ""] = id.split(SEPARATOR);
  return { owner, standby, token };
}
