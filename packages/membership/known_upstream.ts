import type { Milliseconds } from "@heroncleat/base";
import type { Announcement } from "@heroncleat/schema";

/** An upstream with what this entry remembers about it. @internal */
export type KnownUpstream = {
  announcement: Announcement;
  heardBy: string;
  heardAt: Milliseconds;
  transmissions: number;
  lapsed: boolean;
};
