import type { Milliseconds } from "@heroncleat/base";
import type { StreamOriginBatch, StreamOriginNotice } from "@heroncleat/schema";

/** Times that differ by less are sent as one. */
const TIME_STEP: Milliseconds = 1000;
const SEPARATOR = " ";

type SharedOrigin = StreamOriginNotice["origins"][number];
type OriginGroup = StreamOriginBatch["groups"][number];

/** Origins of streams in groups, so that a stream takes little more than its key. */
export const originGroups = {
  /** Groups origins; a time that is rounded keeps a stream no shorter. */
  create(origins: readonly SharedOrigin[]): OriginGroup[] {
    const groups = new Map<string, Omit<OriginGroup, "streams">>();
    const streams = new Map<string, string[]>();
    for (const { stream, service, version, ...times } of origins) {
      const age = Math.floor(times.age / TIME_STEP) * TIME_STEP;
      const expiresIn = Math.ceil(times.expiresIn / TIME_STEP) * TIME_STEP;
      const key = JSON.stringify([service, version, age, expiresIn]);
      const names = streams.get(key) ?? [];
      names.push(stream);
      streams.set(key, names);
      groups.set(key, { service, version, age, expiresIn });
    }
    return [...groups].map(([key, group]) => ({
      ...group,
      streams: streams.get(key)!.join(SEPARATOR),
    }));
  },

  list(groups: readonly OriginGroup[]): SharedOrigin[] {
    return groups.flatMap(({ streams, ...group }) =>
      streams.split(SEPARATOR).map((stream) => ({ stream, ...group }))
    );
  },
};
