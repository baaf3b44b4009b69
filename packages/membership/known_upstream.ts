import type { Milliseconds } from "@heroncleat/base";
import type { Announcement } from "@heroncleat/schema";

/** The latest announcement of an upstream, with its local state. @internal */
export type KnownUpstream = {
  announcement: Announcement;
  heardBy: string;
  lastSeenAt: Milliseconds;
  transmissions: number;
  isLapsed: boolean;
};
