/**
 * Admission control: decides which requests run, wait or are refused by
 * priorities, fair shares, deadlines and retry budgets.
 *
 * @module
 */
export type { AdmissionDecision } from "./admission_decision.ts";
export type { AdmissionRequest } from "./admission_request.ts";
export type { AdmissionSettings } from "./admission_settings.ts";
export { AdmissionController } from "./admission_controller.ts";
export { ADMISSION_DEFAULTS } from "./admission_defaults.ts";
export { entryCapacity } from "./entry_capacity.ts";
export { RetryBudget } from "./retry_budget.ts";
