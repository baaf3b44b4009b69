import type { Milliseconds } from "@heroncleat/base";
import type { StreamOriginNotice } from "@heroncleat/schema";
import type { KnownOrigin } from "@heroncleat/serving";

/** An origin with its times relative to now, for other entries. */
export function toSharedOrigin(
  stream: string,
  { origin, begunAt, expiresAt }: KnownOrigin,
  now: Milliseconds,
): StreamOriginNotice["origins"][number] {
  return {
    stream,
    ...origin,
    age: Math.max(0, Math.round(now - begunAt)),
    expiresIn: Math.max(0, Math.round(expiresAt - now)),
  };
}
