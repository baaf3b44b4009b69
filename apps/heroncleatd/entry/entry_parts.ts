import type { MemberRecord } from "@heroncleat/schema";
import type { Actor } from "../common/actor.ts";
import type { DispatchMessage } from "./dispatch_message.ts";
import type { EntryContext } from "./entry_context.ts";
import type { MembershipActorMessage } from "./membership_actor_message.ts";
import type { RegistryMessage } from "./registry_message.ts";
import type { ResponseReader } from "./response_reader.ts";

/** Actors and services that the HTTP handlers use. */
export type EntryParts = {
  readonly context: EntryContext;
  readonly membership: Actor<MembershipActorMessage>;
  readonly dispatch: Actor<DispatchMessage>;
  readonly registry: Actor<RegistryMessage>;
  readonly responses: ResponseReader;
  readonly members: () => readonly MemberRecord[];
  /**
   * Whether this entry has received the upstreams known to the other entries.
   */
  readonly isSynchronized: () => boolean;
  /** Whether this entry is shutting down and refuses new requests. */
  readonly isShuttingDown: () => boolean;
};
