import type { Milliseconds } from "@heroncleat/base";

const KIB = 1024;
const MIB = 1024 * KIB;

/**
 * Limits on bytes of responses that are not part of an answer, or that must be
 * held until it goes on. Sizes are in bytes.
 */
export const byteLimits = {
  /** Head of one response, as Node limits it by default. */
  head: 16 * KIB,
  /** All heads of one response, the informational ones included. */
  heads: 64 * KIB,
  /** Informational heads (1xx) of one response; servers send one or two. */
  informationalHeads: 32,
  /**
   * Time from the first byte of a head to its end. Heads arrive in one packet
   * or two; a lost packet is repeated within 0.2 to 0.4 s.
   */
  headTime: 1000 as Milliseconds,
  /** Bytes received that carry no body, whatever the size of the body. */
  framing: 128 * KIB,
  /**
   * Bytes that carry no body, for each byte that does. The framing of a chunk
   * takes five bytes or more, and reading chunks of one byte takes 6 µs each.
   */
  framingPerBodyByte: 2,
  /** Line of an event stream; prompts echoed in an event have some 100 KB. */
  line: 512 * KIB,
  /** Unfinished event of an event stream. */
  event: 768 * KIB,
  /**
   * Bytes of an event stream since its last progress, beyond those allowed for
   * the time that has passed.
   */
  withoutProgress: 1 * MIB,
  /** Bytes that are not progress and are allowed for each millisecond. */
  withoutProgressPerMillisecond: 16,
  /** Text of one generation, in characters. */
  generatedText: 4 * MIB,
  /** The same for a generation of no tokens, and for each token of it. */
  generatedTextBase: 64 * KIB,
  textPerToken: 512,
  /** Tokens of a generation whose request states no limit. */
  generatedTokens: 256 * KIB,
  /** Body that is held until it is complete. */
  body: 16 * MIB,
  /**
   * Unfinished events and bodies without a stated length, held by all
   * connections together.
   */
  held: 20 * MIB,
  /** Bodies with a stated length, held by all connections together. */
  heldWithLength: 16 * MIB,
  /** Bodies of unstated length that callers are reading, together. */
  unread: 24 * MIB,
  /** Bodies of requests, held by all connections together. */
  requests: 48 * MIB,
  /** Size from which a body leaves a part of that to smaller ones. */
  largeRequest: 256 * KIB,
  /** What a connection may hold without being counted. */
  uncounted: 16 * KIB,
  /** Body that is no longer needed and is read to keep the connection. */
  discarded: 64 * KIB,
  /** Time for which such a body is read. */
  discardTime: 1000 as Milliseconds,
} as const;
