/**
 * Share of the burst of datagrams about streams that each kind leaves to the
 * others. What holders are told, and answers that name an origin, come first:
 * made-up streams cause questions, and nobody answers these.
 *
 * @public
 */
export const OriginReserve = {
  origin: 0,
  /** Questions to holders, and replies without an origin. */
  holder: 0.25,
  /** Questions to others. */
  other: 0.5,
} as const;
