import type {
  AnswerQuery,
  CopyMessage,
  CopyReply,
  ForwardedAnswer,
  MemberRecord,
  RequestRecord,
  UpstreamRecord,
} from "@heroncleat/schema";
import type { Actor } from "../common/actor.ts";
import type { OwnershipOutcome } from "./ownership_outcome.ts";
import type { RequestMessage } from "./request_message.ts";

/** Messages to the actor that tracks all requests held by this entry. */
export type RegistryMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "members"; readonly members: readonly MemberRecord[] }
  | { readonly kind: "upstream"; readonly upstream: UpstreamRecord }
  | {
    readonly kind: "own";
    readonly record: RequestRecord;
    /** Called once, when this entry no longer runs the request. */
    readonly onEnded: () => void;
    readonly reply: (outcome: OwnershipOutcome) => void;
  }
  | {
    readonly kind: "copies";
    readonly copies: readonly CopyMessage[];
    readonly reply: (replies: CopyReply[]) => void;
  }
  | {
    readonly kind: "query";
    readonly query: AnswerQuery;
    /** Called with the local actor of the request, for direct reads. */
    readonly onOwner: (actor: Actor<RequestMessage>) => void;
    readonly reply: (reply: ForwardedAnswer) => void;
  }
  /** Takes over requests that another entry hands over. */
  | {
    readonly kind: "take_over";
    readonly ids: readonly string[];
    /** Called with the IDs that this entry now owns. */
    readonly reply: (takenOverIds: string[]) => void;
  }
  /** Hands all unfinished requests over to their standbys. */
  | { readonly kind: "hand_over" }
  | {
    readonly kind: "count";
    readonly reply: (counts: { owned: number; held: number }) => void;
  }
  /** Removes a request that ended, unless it runs here again. */
  | { readonly kind: "forget"; readonly id: string };
