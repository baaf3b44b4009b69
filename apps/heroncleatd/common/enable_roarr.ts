/**
 * Roarr reads this variable when it is loaded, so this module must be imported
 * before it. The log level in the settings decides which lines are written.
 *
 * @module
 */
process.env["ROARR_LOG"] = "true";
