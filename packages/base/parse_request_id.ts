/** The entries that first held the request, and its random token. */
type RequestIdParts = {
  readonly owner: string;
  readonly standby: string;
  readonly token: string;
};

/** Entry names can't contain it. */
const SEPARATOR = "~";

/**
 * Parses `owner~standby~token`. Missing parts become empty strings.
 *
 * @public
 */
export function parseRequestId(id: string): RequestIdParts {
  const [owner = "", standby = "", token = ""] = id.split(SEPARATOR);
  return { owner, standby, token };
}
