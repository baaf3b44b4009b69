import type { MemberRecord } from "@heroncleat/schema";
import type { Actor } from "../common/actor.ts";
import type { ResponseReader } from "./response_reader.ts";
import type { DispatchMessage } from "./dispatch_message.ts";
import type { EntryContext } from "./entry_context.ts";
import type { MembershipActorMessage } from "./membership_actor_message.ts";
import type { RegistryMessage } from "./registry_message.ts";

/** What the handlers of the callers' API work with. */
export type EntryParts = {
  readonly context: EntryContext;
  readonly membership: Actor<MembershipActorMessage>;
  readonly dispatch: Actor<DispatchMessage>;
  readonly registry: Actor<RegistryMessage>;
  readonly responses: ResponseReader;
  /** The members as last received. */
  readonly members: () => readonly MemberRecord[];
  /** Whether this entry has known of the upstreams that others know. */
  readonly isSynchronized: () => boolean;
  /** Whether this entry is stopping and takes no new requests. */
  readonly isShuttingDown: () => boolean;
};
