import type { Milliseconds } from "@heroncleat/base";
import type { RoutedRequest } from "@heroncleat/routing";
import type { RequestIdentity } from "../common/request_identity.ts";

/** A call to a plain service, ready to be sent. */
export type ServiceCall = {
  readonly routed: RoutedRequest;
  readonly token: string;
  readonly contentType: string;
  readonly body: Buffer;
  /** Idempotency key, also forwarded to the service. */
  readonly key: string;
  readonly isIdempotent: boolean;
  readonly identity: RequestIdentity;
  /** Deadline, in the time of `Clock.now`. */
  readonly deadlineAt: Milliseconds;
};
