import { originHolders } from "./origin_holders.ts";

/** Control replicas that store the origin of a stream. */
const COPIES = 2;
/** Control replicas that are asked for one stream, at most. */
const MAX_ASKED = 5;

/**
 * The control replicas that store where a stream began, chosen by rendezvous
 * hashing so that all entries find the same ones.
 *
 * @public
 */
export const originReplicas = {
  copies: COPIES,
  maxAsked: MAX_ASKED,

  /** @param replicas host:port of each control replica. */
  rank(stream: string, replicas: readonly string[]): string[] {
    const candidates = replicas.map((address) => ({
      name: address,
      address,
      zone: "",
      region: "",
    }));
    return originHolders.rank(stream, candidates)
      .map(({ address }) => address);
  },
};
