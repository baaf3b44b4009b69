import type { AdmissionSettings } from "./admission_settings.ts";

/** Admission's settings where the daemon names none. @public */
export const ADMISSION_DEFAULTS: AdmissionSettings = {
  maxQueued: 4000,
  defaultWeight: 1,
  defaultMaxRunning: 1000,
  defaultMaxQueued: 1000,
  burst: 8,
  mostWait: { icebreaker: 250, guest: 300, notice: 10_000, draft: 20_000 },
  leastRetryAfter: 200,
};
