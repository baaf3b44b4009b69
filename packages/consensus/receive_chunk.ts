import type { IncomingTransfer } from "./incoming_transfer.ts";

type Chunk = {
  readonly from: string;
  readonly term: number;
  readonly index: number;
  readonly offset: number;
  readonly data: string;
};

/**
 * Adds a chunk to a transfer. A chunk that repeats received characters, or
 * skips some, changes nothing, so the sender learns from the length where to go
 * on. A chunk of another transfer starts anew.
 *
 * @internal
 */
export function receiveChunk(
  transfer: IncomingTransfer | undefined,
  { from, term, index, offset, data }: Chunk,
): IncomingTransfer {
  // Replicas may encode the same state differently, so a new leader starts
  // again even at the same index.
  const isSame = transfer !== undefined && transfer.from === from &&
    transfer.term === term && transfer.index === index;
  const received = isSame ? transfer.data : "";
  return {
    from,
    term,
    index,
    data: offset === received.length ? received + data : received,
  };
}
