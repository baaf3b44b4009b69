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

/** Messages to the actor that knows all requests held by this entry. */
export type RegistryMessage =
  | { readonly kind: "tick" }
  | { readonly kind: "members"; readonly members: readonly MemberRecord[] }
  | { readonly kind: "upstream"; readonly upstream: UpstreamRecord }
  | {
    readonly kind: "own";
    readonly record: RequestRecord;
    /** Notified once, when this entry is done with the request. */
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
    /** Notified which actor owns the request here, to ask it directly. */
    readonly onOwner: (actor: Actor<RequestMessage>) => void;
    readonly reply: (answer: ForwardedAnswer) => void;
  }
  /** Another entry hands these requests over to this one. */
  | {
    readonly kind: "take_over";
    readonly ids: readonly string[];
    /** The requests that this entry owns now. */
    readonly reply: (taken: string[]) => void;
  }
  /** Gives all unfinished requests to their standbys. */
  | { readonly kind: "hand_over" }
  | {
    readonly kind: "count";
    readonly reply: (counts: { owned: number; held: number }) => void;
  }
  /** Drops a request that ended, unless it runs here again. */
  | { readonly kind: "forget"; readonly id: string };
