import type { AdmissionSettings } from "./admission_settings.ts";

/**
 * Default settings of admission.
 *
 * @public
 */
export const ADMISSION_DEFAULTS: AdmissionSettings = {
  maxQueued: 4000,
  defaultWeight: 1,
  defaultMaxRunning: 1000,
  defaultMaxQueued: 1000,
  burst: 8,
  maxWait: { icebreaker: 250, guest: 300, notice: 10_000, draft: 20_000 },
  minRetryAfter: 200,
};
