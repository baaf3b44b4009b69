import type { Milliseconds } from "@heroncleat/base";
import type { StreamOrigin } from "@heroncleat/serving";
import type { ResumptionSearch } from "./resumption_search.ts";

/** A stream that a caller's request resumes. */
export type Resumption = {
  /** See `streamKey`. */
  readonly stream: string;
  readonly origin: StreamOrigin;
  /** Name of the entry that knows the origin. */
  readonly by: string;
  /** Time since the first event of the stream; 0 if it isn't known. */
  readonly age: Milliseconds;
  readonly search: ResumptionSearch;
};
